#!/bin/bash
# A job is accepted once, each of its tasks runs in one place at a time, and it finishes, although
# the submission is retried, workers refuse starts, replies are lost, a worker leaves, or the entry
# VM that owns the job is killed.  Of two operators that edit at the same time, one gets a conflict.
. "$(dirname "$0")/lib.sh"
start_test_cluster
submit () { post "$1" /v1/environments/puntina/jobs "$2" 'Customer: franchisees' "Idempotency-Key: $3"; }
job_state () { curl -s "http://$1/v1/jobs/$2" | jq -r .state; }
job_id () { sed 's/^[0-9]* //' <<<"$1" | jq -r .id; }
job_is_finished () { [ "$(job_state "$1" "$2")" = finished ]; }
short_job='{"class":"catalogue-reconciliation","tasks":[{"cpu_milli":1000,"memory_mb":512,"run_ms":200,"count":6}]}'
long_job='{"class":"catalogue-reconciliation","tasks":[{"cpu_milli":1000,"memory_mb":512,"run_ms":6000,"count":4}]}'
counter () { curl -s "http://$CONTROL_puntina/counters" | jq "$1"; }

first_reply=$(submit "$CALLER_vm_a" "$short_job" j1)
retry_reply=$(submit "$CALLER_vm_b" "$short_job" j1)
expect "a job is accepted" test "${first_reply%% *}" = 202
expect "a retry through another VM gets the same job" test "$(job_id "$first_reply")" = "$(job_id "$retry_reply")"
expect "the job finishes" cluster_wait_until 20 job_is_finished "$CALLER_vm_a" "$(job_id "$first_reply")"
expect "the other VM shows it as finished" cluster_wait_until 5 job_is_finished "$CALLER_vm_b" "$(job_id "$first_reply")"
expect "each task started once" test "$(counter '[.backends[].starts] | add')" = 6
huge_job='{"class":"catalogue-reconciliation","tasks":[{"cpu_milli":99000,"memory_mb":1}]}'
expect "a job that can never fit is refused as unschedulable" grep -q '^422.*unschedulable.*/tasks/0' <<<"$(submit "$CALLER_vm_a" "$huge_job" j2)"
expect "the refusal of an invalid job names the field" grep -q '^400.*/tasks/0/cpu_milli' <<<"$(submit "$CALLER_vm_a" '{"class":"x","tasks":[{"memory_mb":1}]}' j3)"

# One of the zone's two workers refuses starts, and replies of the other are lost.
set_faults "$CONTROL_puntina" '{"id":"puntina-worker-0","refuse":true}'
set_faults "$CONTROL_puntina" '{"id":"puntina-worker-2","lose_replies":2}'
reply_with_faults=$(submit "$CALLER_vm_a" "$short_job" j4)
expect "a job finishes although starts are refused and replies lost" cluster_wait_until 40 job_is_finished "$CALLER_vm_a" "$(job_id "$reply_with_faults")"
set_faults "$CONTROL_puntina" '{"id":"puntina-worker-0","refuse":false}'
expect "no task ran in two places at a time" test "$(counter .double_runs)" = 0
expect "no worker was allocated more than its capacity" test "$(counter '[.backends[].over_capacity] | add')" = 0

# A worker that is leaving gets no new tasks.
leaving=$(curl -s "http://$PLATFORM/v1/vms" | jq -c '{vms: [.vms[] | select(.id == "puntina-worker-0") | .state = "leaving"]}')
curl -s -o /dev/null -X POST "http://$PLATFORM/v1/vms" -d "$leaving"
one_worker_is_usable () { tool status --json --operator="$OPERATOR_vm_a" | json_matches '.jobs.workers == 1'; }
expect "a leaving worker is no longer counted as usable" cluster_wait_until 5 one_worker_is_usable
starts_before=$(counter '[.backends[] | select(.id == "puntina-worker-0").starts] | add')
reply_while_leaving=$(submit "$CALLER_vm_a" "$short_job" j7)
expect "a job finishes without the leaving worker" cluster_wait_until 20 job_is_finished "$CALLER_vm_a" "$(job_id "$reply_while_leaving")"
expect "the leaving worker got no task" test "$(counter '[.backends[] | select(.id == "puntina-worker-0").starts] | add')" = "$starts_before"

# The reply to the write that accepts a job is lost.
set_faults "$PLATFORM" '{"lose_replies":1}'
reply_after_loss=$(submit "$CALLER_vm_a" "$short_job" j5)
expect "a VM recognises that it has accepted a job when the reply to the write was lost" test "${reply_after_loss%% *}" = 202
expect "the job finishes although the reply was lost" cluster_wait_until 20 job_is_finished "$CALLER_vm_a" "$(job_id "$reply_after_loss")"

# The daemon that owns the job is killed while tasks run; a new process on its VM takes over the job.
reply_before_kill=$(submit "$CALLER_vm_a" "$long_job" j6)
four_tasks_run () { tool status --json --operator="$OPERATOR_vm_a" | json_matches '.jobs.running_tasks == 4'; }
expect "four tasks run" cluster_wait_until 20 four_tasks_run
starts=$(counter '[.backends[].starts] | add')
kill -KILL "$PID_vm_a"
wait "$PID_vm_a" 2>/dev/null
address=$CALLER_vm_a
operator=$OPERATOR_vm_a
cluster_start_process vm-a-again "$build/src/mimosastaird" --vm=vm-a --zone=a --listen="$address" \
  --operator-listen="$operator" --platform-kv="$PLATFORM" --platform-list="$PLATFORM" \
  --seats=4 --list-interval-ms=100
expect "the new process finishes the job" cluster_wait_until 60 job_is_finished "$address" "$(job_id "$reply_before_kill")"
expect "no task ran in two places at a time" test "$(counter .double_runs)" = 0
expect "no task was started again" test "$(counter '[.backends[].starts] | add')" = "$starts"

# Two operators edit the same version at the same time; one gets a conflict that names the other.
version=$(tool env get puntina --operator="$OPERATOR_vm_b" | jq .version)
for writer in ada bela; do
  tool env apply examples/puntina.json --expected="$version" --writer=$writer --operator="$OPERATOR_vm_b" \
    >"$CLUSTER_DIR/race.$writer" 2>&1 &
  race_pids="${race_pids:-} $!"
done
codes=""
for race_pid in $race_pids; do wait "$race_pid"; codes="$codes$? "; done
expect "one operator wins and one gets a conflict" test "$(tr ' ' '\n' <<<"$codes" | sort | tr -d '\n')" = 06
expect "the conflict names the other version and its writer" grep -qE "conflict.*version $((version + 1)), written by (ada|bela)" "$CLUSTER_DIR/race.ada" "$CLUSTER_DIR/race.bela"
winner_is_in_force () { [ "$(tool env get puntina --operator="$operator" | jq .version)" = $((version + 1)) ]; }
expect "the edit of the winner is in force on the other VM" cluster_wait_until 11 winner_is_in_force
# The reply to the write of an edit is lost; the edit is still applied once.
set_faults "$PLATFORM" '{"lose_replies":1}'
applied=$(tool env apply examples/puntina.json --operator="$operator")
expect "an edit whose reply is lost adds one version" test "$applied" = "puntina: version $((version + 2))"
finish
