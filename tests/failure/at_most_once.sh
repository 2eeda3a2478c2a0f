#!/bin/bash
# A non-idempotent request runs at most once, although it is retried through several entry VMs,
# replies of the key-value service are lost, the service is down, or a VM is killed.
. "$(dirname "$0")/lib.sh"
start_test_cluster

# A retry gets the same response, byte for byte, from both VMs.
first=$(post "$CALLER_vm_a" $orders_path '{"o":1}' "$shops_header" 'Idempotency-Key: k1')
again=$(post "$CALLER_vm_a" $orders_path '{"o":1}' "$shops_header" 'Idempotency-Key: k1')
other=$(post "$CALLER_vm_b" $orders_path '{"o":1}' "$shops_header" 'Idempotency-Key: k1')
expect "an order gets a response" test "${first%% *}" = 200
expect "the same VM replays the response to a retry" test "$first" = "$again"
expect "another VM replays the response to a retry" test "$first" = "$other"
expect "the order ran once" test "$(run_count '{"o":1}')" = 1
reused=$(post "$CALLER_vm_b" $orders_path '{"o":99}' "$shops_header" 'Idempotency-Key: k1')
expect "the same key with another body is refused" grep -q '^422.*key_reused' <<<"$reused"

# Retries that arrive at either VM while the first attempt runs join it.
set_faults "$CONTROL_puntina" '{"id":"*","service_ms":800}'
for vm in "$CALLER_vm_a" "$CALLER_vm_a" "$CALLER_vm_b" "$CALLER_vm_b"; do
  post "$vm" $orders_path '{"o":2}' "$shops_header" 'Idempotency-Key: k2' >"$CLUSTER_DIR/join.$RANDOM" &
  join_pids="${join_pids:-} $!"
done
wait $join_pids
expect "joined attempts get the same response" test "$(sort -u "$CLUSTER_DIR"/join.* | wc -l)" = 1
expect "the response is the result of the order" grep -q '^200' "$CLUSTER_DIR"/join.*
expect "the order of the joined attempts ran once" test "$(run_count '{"o":2}')" = 1
set_faults "$CONTROL_puntina" '{"id":"*","service_ms":5}'

# Replies of the key-value service are lost after the write was carried out.
set_faults "$PLATFORM" '{"lose_replies":3}'
lost=$(post "$CALLER_vm_a" $orders_path '{"o":3}' "$shops_header" 'Idempotency-Key: k3')
expect "a VM recognises its own claim on a key when the reply to the write was lost" test "${lost%% *}" = 200
expect "the order ran once although replies were lost" test "$(run_count '{"o":3}')" = 1

# The key-value service is down: no key is claimed and no request with a key runs; requests
# without a key are still served.
set_faults "$PLATFORM" '{"down":true}'
sleep 0.3
down=$(post "$CALLER_vm_a" $orders_path '{"o":4}' "$shops_header" 'Idempotency-Key: k4' 'Deadline-Ms: 700')
expect "an order is refused during an outage" grep -q '^503.*platform_unavailable\|^409.*in_progress' <<<"$down"
expect "its outcome is unknown, not 'not run', since an earlier attempt may have run" grep -q '"outcome":"unknown"' <<<"$down"
down=$(post "$CALLER_vm_a" $orders_path '{"o":5}' "$shops_header" 'Idempotency-Key: k5' 'First-Try: 1' 'Deadline-Ms: 700')
expect "an order marked as the first attempt has the outcome not run" grep -q '"outcome":"not_run"' <<<"$down"
lookup=$(post "$CALLER_vm_a" $lookups_path '{"l":1}' "$shops_header")
expect "lookups are served during an outage" test "${lookup%% *}" = 200
expect "no refused order has run" test "$(run_count '{"o":4}')$(run_count '{"o":5}')" = 00
set_faults "$PLATFORM" '{"down":false}'
order_succeeds () { [ "$(post "$CALLER_vm_b" $orders_path '{"o":5}' "$shops_header" 'Idempotency-Key: k5' | cut -c1-3)" = 200 ]; }
expect "after the outage an order with the same key runs" cluster_wait_until 20 order_succeeds
expect "the order ran once after the outage" test "$(run_count '{"o":5}')" = 1

# The VM that sent the order to an executor is killed while the order runs.
set_faults "$CONTROL_puntina" '{"id":"*","service_ms":6000}'
post "$CALLER_vm_a" $orders_path '{"o":6}' "$shops_header" 'Idempotency-Key: k6' >/dev/null &
caller_pid=$!
order_has_run () { [ "$(run_count '{"o":6}')" = 1 ]; }
expect "the order reaches an executor" cluster_wait_until 10 order_has_run
kill -KILL "$PID_vm_a"
wait $caller_pid
retry=$(post "$CALLER_vm_b" $orders_path '{"o":6}' "$shops_header" 'Idempotency-Key: k6' 'Deadline-Ms: 900')
expect "while the VM is still listed, a retry is told that the order is in progress" grep -q 'in_progress' <<<"$retry"
curl -s -o /dev/null -X POST "http://$PLATFORM/v1/vms/remove" -d '{"ids":["vm-a"]}'
owner_is_lost () { post "$CALLER_vm_b" $orders_path '{"o":6}' "$shops_header" 'Idempotency-Key: k6' 'Deadline-Ms: 900' | grep -q '"outcome":"unknown","error":"owner_lost"'; }
expect "once the VM is no longer listed, the outcome is unknown (owner_lost)" cluster_wait_until 10 owner_is_lost
expect "the order of the killed VM ran once" test "$(run_count '{"o":6}')" = 1
finish
