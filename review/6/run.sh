#!/bin/bash
# Two machines fail one job for a while. See claim.txt. TROUBLE=0: the machines are sound throughout.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
. review/standins-2/common.sh
start_controllers
"$bin/sick_machines" mode=avoid trouble="${TROUBLE:-1}" record="$record" \
  state="$state_port" cloud="$cloud_port" \
  controllers="$(join $(listen_ports))" names="$(join $(controller_names))" &
pids+=($!)
wait $!
status=$?
(( status > 2 )) && status=2
exit $status
