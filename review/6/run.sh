#!/bin/bash
# A gang that fits nowhere waits; a job that fits on an empty machine comes after it. See claim.txt.
# TROUBLE=0: without the first.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
objectives='[[params.objectives]]\nkind = "wait"\nclass = "great-loom"\nwithin_s = 60.0\nshare = 0.8\n'
. review/standins-2/common.sh
start_controllers
"$bin/more_work" mode=gang trouble="${TROUBLE:-1}" record="$record" \
  state="$state_port" cloud="$cloud_port" \
  controllers="$(join $(listen_ports))" names="$(join $(controller_names))" &
pids+=($!)
wait $!
status=$?
(( status > 2 )) && status=2
exit $status
