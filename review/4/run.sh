#!/bin/bash
# An array of many small tasks. See claim.txt. TROUBLE=0: as much work in a tenth of the tasks.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
. review/standins-2/common.sh
vcpus=0.05 ram_gb=0.15 threads=3400
[[ ${TROUBLE:-1} == 0 ]] && vcpus=0.5 ram_gb=1.5 threads=340
start_controllers
"$bin/small_tasks" record="$record" state="$state_port" cloud="$cloud_port" workers="$workers_port" \
  controllers="$(join $(listen_ports))" names="$(join $(controller_names))" \
  threads=$threads vcpus=$vcpus ram_gb=$ram_gb watch_s=95 &
pids+=($!)
wait $!
status=$?
(( status > 2 )) && status=2
exit $status
