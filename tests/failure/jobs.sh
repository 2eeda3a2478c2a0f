#!/bin/bash
# Jobs are accepted once, run once and finish: second tries, refused starts, lost
# replies, a worker that vanishes, the death of the owner, races of operators.
. "$(dirname "$0")/lib.sh"
start_cell
submit () { post "$1" /v1/environments/puntina/jobs "$2" 'Customer: franchisees' "Idempotency-Key: $3"; }
state () { curl -s "http://$1/v1/jobs/$2" | jq -r .state; }
id () { sed 's/^[0-9]* //' <<<"$1" | jq -r .id; }
ended () { [ "$(state "$1" "$2")" = finished ]; }
short='{"class":"catalogue-reconciliation","tasks":[{"cpu_milli":1000,"memory_mb":512,"run_ms":200,"count":6}]}'
long='{"class":"catalogue-reconciliation","tasks":[{"cpu_milli":1000,"memory_mb":512,"run_ms":6000,"count":4}]}'
counter () { curl -s "http://$CONTROL_puntina/counters" | jq "$1"; }

first=$(submit "$CALLER_vm_a" "$short" j1)
again=$(submit "$CALLER_vm_b" "$short" j1)
expect "a job is accepted" test "${first%% *}" = 202
expect "a second try through another VM is the same job" test "$(id "$first")" = "$(id "$again")"
expect "it finishes" cell_until 20 ended "$CALLER_vm_a" "$(id "$first")"
expect "and shows so on the other VM" cell_until 5 ended "$CALLER_vm_b" "$(id "$first")"
expect "each task started once" test "$(counter '[.backends[].starts] | add')" = 6
huge='{"class":"catalogue-reconciliation","tasks":[{"cpu_milli":99000,"memory_mb":1}]}'
expect "a job that can never run is told so" grep -q '^422.*unschedulable.*/tasks/0' <<<"$(submit "$CALLER_vm_a" "$huge" j2)"
expect "a bad job names the field" grep -q '^400.*/tasks/0/cpu_milli' <<<"$(submit "$CALLER_vm_a" '{"class":"x","tasks":[{"memory_mb":1}]}' j3)"

# Half of the workers of the zone refuse, the other's replies get lost.
faults "$CONTROL_puntina" '{"id":"puntina-worker-0","refuse":true}'
faults "$CONTROL_puntina" '{"id":"puntina-worker-2","lose_replies":2}'
third=$(submit "$CALLER_vm_a" "$short" j4)
expect "it finishes in spite of refusals and lost replies" cell_until 40 ended "$CALLER_vm_a" "$(id "$third")"
faults "$CONTROL_puntina" '{"id":"puntina-worker-0","refuse":false}'
expect "no task ran in two places" test "$(counter .double_runs)" = 0
expect "no worker was given more than it has" test "$(counter '[.backends[].over_capacity] | add')" = 0

# A worker that leaves gets no more tasks.
leaving=$(curl -s "http://$PLATFORM/v1/vms" | jq -c '{vms: [.vms[] | select(.id == "puntina-worker-0") | .state = "leaving"]}')
curl -s -o /dev/null -X POST "http://$PLATFORM/v1/vms" -d "$leaving"
left () { tool status --json --operator="$OPERATOR_vm_a" | cell_holds '.jobs.workers == 1'; }
expect "a leaving worker is not used" cell_until 5 left
before=$(counter '[.backends[] | select(.id == "puntina-worker-0").starts] | add')
fifth=$(submit "$CALLER_vm_a" "$short" j7)
expect "a job finishes without it" cell_until 20 ended "$CALLER_vm_a" "$(id "$fifth")"
expect "it got nothing" test "$(counter '[.backends[] | select(.id == "puntina-worker-0").starts] | add')" = "$before"

# The reply of the acceptance is lost after the write.
faults "$PLATFORM" '{"lose_replies":1}'
lost=$(submit "$CALLER_vm_a" "$short" j5)
expect "an acceptance with its reply lost is recognised" test "${lost%% *}" = 202
expect "and the job finishes" cell_until 20 ended "$CALLER_vm_a" "$(id "$lost")"

# The owner dies while tasks run; a new process on its VM takes the job over.
fourth=$(submit "$CALLER_vm_a" "$long" j6)
running () { tool status --json --operator="$OPERATOR_vm_a" | cell_holds '.jobs.running_tasks == 4'; }
expect "four tasks run" cell_until 20 running
starts=$(counter '[.backends[].starts] | add')
kill -KILL "$PID_vm_a"
wait "$PID_vm_a" 2>/dev/null
address=$CALLER_vm_a
operator=$OPERATOR_vm_a
cell_run vm-a-again "$build/src/mimosastaird" --vm=vm-a --zone=a --listen="$address" \
  --operator-listen="$operator" --platform-kv="$PLATFORM" --platform-list="$PLATFORM" \
  --seats=4 --list-interval-ms=100
expect "the new process finishes the job" cell_until 60 ended "$address" "$(id "$fourth")"
expect "no task ran in two places" test "$(counter .double_runs)" = 0
expect "and none had to start again" test "$(counter '[.backends[].starts] | add')" = "$starts"

# Two operators race; one loses and is told of the other.
version=$(tool env get puntina --operator="$OPERATOR_vm_b" | jq .version)
for writer in ada bela; do
  tool env apply examples/puntina.json --expected="$version" --writer=$writer --operator="$OPERATOR_vm_b" \
    >"$CELL_DIR/race.$writer" 2>&1 &
  races="${races:-} $!"
done
codes=""
for race in $races; do wait "$race"; codes="$codes$? "; done
expect "one operator wins and one gets a conflict" test "$(tr ' ' '\n' <<<"$codes" | sort | tr -d '\n')" = 06
expect "which names the other version and writer" grep -qE "conflict.*version $((version + 1)), written by (ada|bela)" "$CELL_DIR/race.ada" "$CELL_DIR/race.bela"
same () { [ "$(tool env get puntina --operator="$operator" | jq .version)" = $((version + 1)) ]; }
expect "the winner is in force on the other VM" cell_until 11 same
# The reply of an edit is lost after the write: it is one edit.
faults "$PLATFORM" '{"lose_replies":1}'
lost=$(tool env apply examples/puntina.json --operator="$operator")
expect "an edit with its reply lost is one version more" test "$lost" = "puntina: version $((version + 2))"
finish
