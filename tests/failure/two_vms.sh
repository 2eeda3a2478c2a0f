#!/bin/bash
# Two entry VMs of one zone: the second gets its part of the racks while tasks of the
# first run there; nothing is given out twice, and no running task is stopped.
. "$(dirname "$0")/lib.sh"
cell_start "$build"
trap 'cell_stop' EXIT
cell_backends puntina a --executors=2 --workers=4 --per-rack=1 --cpu-milli=2000
cell_daemon vm-a a --seats=4 --list-interval-ms=100
cell_until 20 cell_ready "$CALLER_vm_a"
tool env apply examples/puntina.json --operator="$OPERATOR_vm_a" >/dev/null
racks () { tool status --json --operator="$1" | cell_holds ".jobs.racks == $2 and .jobs.workers == $2"; }
not () { ! "$@" >/dev/null 2>&1; }
expect "a VM that is not there holds no rack" not racks 127.0.0.1:1 2
expect "the first VM holds all racks" cell_until 20 racks "$OPERATOR_vm_a" 4
submit () { post "$1" /v1/environments/puntina/jobs "$2" 'Customer: franchisees' "Idempotency-Key: $3" | sed 's/^[0-9]* //' | jq -r .id; }
ended () { [ "$(curl -s "http://$1/v1/jobs/$2" | jq -r .state)" = finished ]; }
counter () { curl -s "http://$CONTROL_puntina/counters" | jq "$1"; }
full='{"class":"catalogue-reconciliation","tasks":[{"cpu_milli":2000,"memory_mb":512,"run_ms":5000,"count":4}]}'
first=$(submit "$CALLER_vm_a" "$full" t1)
running () { tool status --json --operator="$OPERATOR_vm_a" | cell_holds '.jobs.running_tasks == 4'; }
expect "four tasks fill the four workers" cell_until 20 running
cell_daemon vm-b a --seats=4 --list-interval-ms=100
expect "the second VM gets two racks" cell_until 20 racks "$OPERATOR_vm_b" 2
expect "the first keeps two" cell_until 20 racks "$OPERATOR_vm_a" 2
second=$(submit "$CALLER_vm_b" "$full" t2)
third=$(submit "$CALLER_vm_a" "$full" t3)
for job in $first $second $third; do
  expect "$job finishes" cell_until 60 ended "$CALLER_vm_a" "$job"
done
expect "no worker was given more than it has" test "$(counter '[.backends[].over_capacity] | add')" = 0
expect "no task ran in two places" test "$(counter .double_runs)" = 0
expect "no running task was stopped" test "$(counter '[.backends[].starts] | add')" = 12
finish
