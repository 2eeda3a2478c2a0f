# What the failure tests share.  Each test starts its own cell, breaks something, and
# ends with `N passed, N failed`.
set -u
build=${1:-build}
. scripts/cluster.sh
passed=0
failed=0

expect () { # NAME COMMAND...
  local name=$1
  shift
  if "$@"; then
    passed=$((passed + 1))
    echo "ok   $name"
  else
    failed=$((failed + 1))
    echo "FAIL $name: $*"
  fi
}

finish () {
  local log
  for log in "$CELL_DIR"/*.log; do
    if grep -qE 'ERROR: (Address|Leak)Sanitizer|runtime error|Segmentation' "$log"; then
      failed=$((failed + 1))
      echo "FAIL sanitizer in $log"
      grep -m1 -A25 -E 'ERROR: (Address|Leak)Sanitizer|runtime error' "$log"
    fi
  done
  cell_stop
  echo "$passed passed, $failed failed"
  [ "$failed" = 0 ]
}

tool () { "$build/src/mimosastair" "$@"; }

# post ADDRESS PATH BODY [HEADER...]: prints "STATUS BODY".
post () {
  local address=$1 path=$2 body=$3 args=()
  shift 3
  for header in "$@"; do args+=(-H "$header"); done
  curl -s -m 40 -o "$CELL_DIR/answer.$BASHPID" -w '%{http_code} ' -X POST "http://$address$path" \
    -H 'Content-Type: application/json' "${args[@]}" -d "$body"
  cat "$CELL_DIR/answer.$BASHPID" 2>/dev/null
}

faults () { curl -s -m 5 -o /dev/null -X POST "http://$1/faults" -d "$2"; }

# runs BODY: how often the executors of puntina ran that body.
runs () { curl -s "http://$CONTROL_puntina/arrivals" | jq --arg b "$1" '.[$b] // 0'; }

# A cell of two zones with both environments in force and ready everywhere.
start_cell () {
  cell_start "$build"
  trap 'cell_stop' EXIT
  cell_backends puntina a,b --executors=4 --workers=4 "$@"
  cell_daemon vm-a a --seats=4 --list-interval-ms=100 --drain-delay-ms=300
  cell_daemon vm-b b --seats=4 --list-interval-ms=100 --drain-delay-ms=300
  cell_until 20 cell_ready "$CALLER_vm_a"
  cell_until 20 cell_ready "$CALLER_vm_b"
  tool env apply examples/puntina.json --operator="$OPERATOR_vm_a" >/dev/null
  cell_until 20 serves "$OPERATOR_vm_a"
  cell_until 20 serves "$OPERATOR_vm_b"
}

serves () {
  tool status --json --operator="$1" \
    | cell_holds '.jobs.workers > 0 and ([.environments[] | select(.executors_usable == 4 and .slots > 0)] | length) > 0'
}

orders=/v1/environments/puntina/requests/order-request
lookups=/v1/environments/puntina/requests/counter-lookup
shops='Customer: shops'

load () { timeout 120 build/bench/load "$@" | tr '\n' ' '; }
# value NAME "a=1 b=2": prints the value of NAME.
value () { tr ' ' '\n' <<<"$2" | sed -n "s/^$1=//p"; }
