#!/bin/bash
# Non-idempotent requests run at most once across entry VMs, lost replies, the death
# of a VM and outages of the key-value service.
. "$(dirname "$0")/lib.sh"
start_cell

# A second try gets the same answer, byte for byte, on both VMs.
first=$(post "$CALLER_vm_a" $orders '{"o":1}' "$shops" 'Idempotency-Key: k1')
again=$(post "$CALLER_vm_a" $orders '{"o":1}' "$shops" 'Idempotency-Key: k1')
other=$(post "$CALLER_vm_b" $orders '{"o":1}' "$shops" 'Idempotency-Key: k1')
expect "an order is answered" test "${first%% *}" = 200
expect "the same VM replays it" test "$first" = "$again"
expect "another VM replays it" test "$first" = "$other"
expect "it ran once" test "$(runs '{"o":1}')" = 1
reused=$(post "$CALLER_vm_b" $orders '{"o":99}' "$shops" 'Idempotency-Key: k1')
expect "the key with another body is refused" grep -q '^422.*key_reused' <<<"$reused"

# Second tries while the first runs join it, on both VMs.
faults "$CONTROL_puntina" '{"id":"*","service_ms":800}'
for vm in "$CALLER_vm_a" "$CALLER_vm_a" "$CALLER_vm_b" "$CALLER_vm_b"; do
  post "$vm" $orders '{"o":2}' "$shops" 'Idempotency-Key: k2' >"$CELL_DIR/join.$RANDOM" &
  joins="${joins:-} $!"
done
wait $joins
expect "joined tries get one answer" test "$(sort -u "$CELL_DIR"/join.* | wc -l)" = 1
expect "and it is the result" grep -q '^200' "$CELL_DIR"/join.*
expect "joined tries ran once" test "$(runs '{"o":2}')" = 1
faults "$CONTROL_puntina" '{"id":"*","service_ms":5}'

# Replies of the key-value service lost after the write.
faults "$PLATFORM" '{"lose_replies":3}'
lost=$(post "$CALLER_vm_a" $orders '{"o":3}' "$shops" 'Idempotency-Key: k3')
expect "a claim with its reply lost is recognised" test "${lost%% *}" = 200
expect "and runs once" test "$(runs '{"o":3}')" = 1

# An outage: nothing is claimed and nothing runs; requests without a key go on.
faults "$PLATFORM" '{"down":true}'
sleep 0.3
down=$(post "$CALLER_vm_a" $orders '{"o":4}' "$shops" 'Idempotency-Key: k4' 'Deadline-Ms: 700')
expect "in an outage an order is refused" grep -q '^503.*platform_unavailable\|^409.*in_progress' <<<"$down"
expect "and, as an earlier try may have run, not called 'not run'" grep -q '"outcome":"unknown"' <<<"$down"
down=$(post "$CALLER_vm_a" $orders '{"o":5}' "$shops" 'Idempotency-Key: k5' 'First-Try: 1' 'Deadline-Ms: 700')
expect "a first try is certainly not run" grep -q '"outcome":"not_run"' <<<"$down"
lookup=$(post "$CALLER_vm_a" $lookups '{"l":1}' "$shops")
expect "lookups go on in an outage" test "${lookup%% *}" = 200
expect "nothing refused has run" test "$(runs '{"o":4}')$(runs '{"o":5}')" = 00
faults "$PLATFORM" '{"down":false}'
claimable () { [ "$(post "$CALLER_vm_b" $orders '{"o":5}' "$shops" 'Idempotency-Key: k5' | cut -c1-3)" = 200 ]; }
expect "after it the same key runs" cell_until 20 claimable
expect "once" test "$(runs '{"o":5}')" = 1

# The connection to the caller's VM dies with the VM while the order runs.
faults "$CONTROL_puntina" '{"id":"*","service_ms":6000}'
post "$CALLER_vm_a" $orders '{"o":6}' "$shops" 'Idempotency-Key: k6' >/dev/null &
caller=$!
ran () { [ "$(runs '{"o":6}')" = 1 ]; }
expect "the order reaches an executor" cell_until 10 ran
kill -KILL "$PID_vm_a"
wait $caller
retry=$(post "$CALLER_vm_b" $orders '{"o":6}' "$shops" 'Idempotency-Key: k6' 'Deadline-Ms: 900')
expect "while the list still has the VM: in progress, unknown" grep -q 'in_progress' <<<"$retry"
curl -s -o /dev/null -X POST "http://$PLATFORM/v1/vms/remove" -d '{"ids":["vm-a"]}'
gone () { post "$CALLER_vm_b" $orders '{"o":6}' "$shops" 'Idempotency-Key: k6' 'Deadline-Ms: 900' | grep -q '"outcome":"unknown","error":"owner_lost"'; }
expect "once it is gone: unknown for good" cell_until 10 gone
expect "and it ran once" test "$(runs '{"o":6}')" = 1
finish
