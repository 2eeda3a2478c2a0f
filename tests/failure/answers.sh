#!/bin/bash
# Each caller gets the whole answer to its own request, or an error: truncated,
# foreign, late and refused answers, black holes.
. "$(dirname "$0")/lib.sh"
start_cell
common="--path=$lookups --connections=16 --headers=Customer:+shops"
run () { # COUNT PREFIX: load on both VMs
  timeout 60 build/bench/load --targets="$CALLER_vm_a,$CALLER_vm_b" --path=$lookups \
    --headers="$shops" --connections=16 --count="$1" --prefix="$2" | tr '\n' ' '
}
got=$(run 400 quiet)
expect "quiet: every answer is whole and the caller's own" test "$(value results "$got") $(value wrong_answers "$got")" = "400 0"

faults "$CONTROL_puntina" '{"id":"puntina-executor-0","truncate":true}'
got=$(run 400 truncated)
expect "truncated: no wrong answer" test "$(value wrong_answers "$got")" = 0
expect "truncated: retried elsewhere" test "$(value results "$got")" -ge 396
faults "$CONTROL_puntina" '{"id":"puntina-executor-0","truncate":false}'

faults "$CONTROL_puntina" '{"id":"puntina-executor-1","wrong_id":true}'
got=$(run 400 foreign)
expect "another's answer: none reaches a caller" test "$(value wrong_answers "$got")" = 0
faults "$CONTROL_puntina" '{"id":"puntina-executor-1","wrong_id":false}'

faults "$CONTROL_puntina" '{"id":"*","late_ms":60}'
post "$CALLER_vm_a" $lookups '{"late":1}' "$shops" 'Deadline-Ms: 20' >"$CELL_DIR/late1"
late=$(post "$CALLER_vm_a" $lookups '{"late":2}' "$shops")
expect "a timed-out request is unknown" grep -q '"outcome":"unknown","error":"answer_timeout"' "$CELL_DIR/late1"
expect "its late answer reaches nobody" grep -q '^200.*"late":2' <<<"$late"
got=$(run 400 late)
expect "late: every answer is the caller's own" test "$(value results "$got") $(value wrong_answers "$got")" = "400 0"
faults "$CONTROL_puntina" '{"id":"*","late_ms":0}'

faults "$CONTROL_puntina" '{"id":"puntina-executor-2","refuse":true}'
got=$(run 400 refused)
expect "refused: tried elsewhere" test "$(value results "$got")" -ge 396
faults "$CONTROL_puntina" '{"id":"puntina-executor-2","refuse":false}'

faults "$CONTROL_puntina" '{"id":"puntina-executor-3","black_hole":true}'
got=$(run 400 hole)
expect "a black hole costs few: it is set aside" test "$(value results "$got")" -ge 380
finish
