# Shared by the run.sh of the cases: free ports, settings, start and end of the controllers.
# The caller has set `here` (the folder of the case) and stands in the root of the repository.
bin=target/review-2
program=target/sumacquay
[[ -x $program && -x $bin/ports ]] || { echo "build first: deploy file, then review/build-2.sh" >&2; exit 2; }
work=$(mktemp -d)
record=${RECORD:-$here/record.txt}
: > "$record"
declare -a pids
finish() {
  exec 2>/dev/null
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

# Settings as in the page on deployment (Kelani), for two teams.
zones=(ratmalana-hall kalutara-yard biyagama-shed)
controllers=${controllers:-3}
report_s=${report_s:-1.0}
lease_s=${lease_s:-10.0}
cancel_s=${cancel_s:-40.0}
value_kb=${value_kb:-8.0}
txn_ops=${txn_ops:-24}
state_rps=${state_rps:-250.0}
write_rps=${write_rps:-30.0}
gpus=${gpus:-16.0}
gpus_max=${gpus_max:-35.0}
cpus=${cpus:-0.0}
cpus_max=${cpus_max:-0.0}
teams=${teams:-2}
fd_limit=${fd_limit:-600}

mapfile -t ports < <("$bin/ports" $((3 * controllers + 6)))
state_port=${ports[0]}
cloud_port=${ports[1]}
workers_port=${ports[2]}
state_proxy_port=${ports[3]}
listen_port() { echo "${ports[$((6 + 3 * $1))]}"; }
back_port() { echo "${ports[$((7 + 3 * $1))]}"; }

settings() {
  local i=$1 j
  echo "label = \"loomhand-$i\""
  echo "area = \"${zones[$((i % 3))]}\""
  echo "listen = \"127.0.0.1:$(listen_port "$i")\""
  echo "back = \"127.0.0.1:$(back_port "$i")\""
  for ((j = 0; j < controllers; j++)); do
    [[ $j == "$i" ]] && continue
    printf '[[known]]\nlabel = "loomhand-%s"\narea = "%s"\npeer_addr = "127.0.0.1:%s"\n' "$j" "${zones[$((j % 3))]}" "$(back_port "$j")"
  done
  printf '[services]\ncloud = "127.0.0.1:%s"\nstate = "127.0.0.1:%s"\n' "$cloud_port" "$state_port"
  printf '[params]\ncount = %s\nzones = ["biyagama-shed", "kalutara-yard", "ratmalana-hall"]\nclock_off_ms = 5.0\n' "$controllers"
  for ((j = 0; j < teams; j++)); do
    printf '[[params.teams]]\nname = "loom-desk-0%s"\ncpus = %s\ncpus_max = %s\ngpus = %s\ngpus_max = %s\n' "$j" "$cpus" "$cpus_max" "$gpus" "$gpus_max"
  done
  printf "${objectives:-}"
  printf '[params.workers]\nreport_s = %s\nlease_s = %s\ngang_wait_s = 30.0\ngang_peer_s = 5.0\ncancel_s = %s\n' "$report_s" "$lease_s" "$cancel_s"
  printf '[params.state]\nrps = %s\nwrite_rps = %s\nvalue_kb = %s\ntxn_ops = %s\n' "$state_rps" "$write_rps" "$value_kb" "$txn_ops"
  printf "${state_next:-}"
  printf '[params.cloud]\nrps = 6.0\nlist_lag_s = 8.0\n[params.quota]\ncore_share = 0.08\nmemory_mb = 40.0\nfd_limit = %s\n' "$fd_limit"
}

declare -a controller_pid
start_controller() {
  local i=$1
  settings "$i" > "$work/node-$i.toml"
  LOG_LEVEL=${LOG_LEVEL:-info} "$program" --config "$work/node-$i.toml" 2>> "${logs:-$work}/node-$i.log" &
  controller_pid[$i]=$!
  pids+=($!)
}
start_controllers() {
  local i
  for ((i = 0; i < controllers; i++)); do start_controller "$i"; done
}
join() { local IFS=,; echo "$*"; }
listen_ports() { local i; for ((i = 0; i < controllers; i++)); do listen_port "$i"; done; }
controller_names() { local i; for ((i = 0; i < controllers; i++)); do echo "loomhand-$i"; done; }
