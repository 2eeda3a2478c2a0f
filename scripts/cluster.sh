# Functions that start and stop a small cell on loopback: the stand-in platform,
# backend servers, and entry daemons.  Sourced by bash scripts.
#
#   cell_start BUILD_DIR      starts the platform; sets CELL_DIR and PLATFORM
#   cell_backends NAME ZONES [FLAG...]   sets CONTROL_NAME
#   cell_daemon VM ZONE [FLAG...]        sets CALLER_VM, OPERATOR_VM, PID_VM ('-' as '_')
#   cell_stop                 ends every process that was started here

cell_start () {
  CELL_BUILD=$1
  CELL_DIR=$(mktemp -d)
  CELL_PIDS=""
  cell_run platform "$CELL_BUILD/standins/standin-platform"
  PLATFORM=$(cell_wait_line platform platform)
}

# Runs a program in the background with its output in CELL_DIR/NAME.out and .log.
cell_run () {
  local name=$1
  shift
  "$@" >"$CELL_DIR/$name.out" 2>"$CELL_DIR/$name.log" &
  CELL_LAST_PID=$!
  CELL_PIDS="$CELL_PIDS $CELL_LAST_PID"
}

# Prints the value of `KEY=` in the program's output once it is there.
cell_wait_line () {
  local name=$1 key=$2 value="" tries=0
  while [ -z "$value" ]; do
    value=$(sed -n "s/^$key=//p" "$CELL_DIR/$name.out")
    tries=$((tries + 1))
    [ "$tries" -lt 500 ] || { echo "cell: $name said no $key=" >&2; cat "$CELL_DIR/$name.log" >&2; return 1; }
    [ -n "$value" ] || sleep 0.02
  done
  echo "$value"
}

cell_backends () {
  local name=$1 zones=$2
  shift 2
  cell_run "backends-$name" "$CELL_BUILD/standins/standin-backends" \
    --platform="$PLATFORM" --environment="$name" --zones="$zones" "$@"
  printf -v "CONTROL_${name//-/_}" '%s' "$(cell_wait_line "backends-$name" control)"
}

# A free port: taken and given back by the stand-in's own listener is racy, so the
# kernel's ephemeral range is avoided and a bound port is skipped.
CELL_PORT=$((10000 + ($$ * 37) % 20000))
cell_port () {
  while :; do
    CELL_PORT=$((CELL_PORT + 1))
    (exec 3<>"/dev/tcp/127.0.0.1/$CELL_PORT") 2>/dev/null || break
  done
}

cell_register () {
  curl -s -o /dev/null -X POST "http://$PLATFORM/v1/vms" -H 'Content-Type: application/json' \
    -d "{\"vms\":[{\"id\":\"$1\",\"role\":\"entry\",\"zone\":\"$2\",\"address\":\"$3\",\"state\":\"live\"}]}"
}

cell_daemon () {
  local vm=$1 zone=$2 name=${1//-/_}
  shift 2
  local caller_name="CALLER_$name" operator_name="OPERATOR_$name"
  local caller=${!caller_name:-} operator=${!operator_name:-}
  # A VM that was started before keeps its addresses.
  [ -n "$caller" ] || { cell_port; caller="127.0.0.1:$CELL_PORT"; }
  [ -n "$operator" ] || { cell_port; operator="127.0.0.1:$CELL_PORT"; }
  cell_register "$vm" "$zone" "$caller"
  cell_run "$vm" "$CELL_BUILD/src/mimosastaird" --vm="$vm" --zone="$zone" --listen="$caller" \
    --operator-listen="$operator" --platform-kv="$PLATFORM" --platform-list="$PLATFORM" "$@"
  printf -v "CALLER_$name" '%s' "$caller"
  printf -v "OPERATOR_$name" '%s' "$operator"
  printf -v "PID_$name" '%s' "$CELL_LAST_PID"
}

# Waits until the command succeeds, at most SECONDS.
cell_until () {
  local seconds=$1 end
  shift
  end=$(($(date +%s%N) + seconds * 1000000000))
  until "$@" >/dev/null 2>&1; do
    [ "$(date +%s%N)" -lt "$end" ] || { echo "cell: not within $seconds s: $*" >&2; return 1; }
    sleep 0.02
  done
}

# True when the JSON on standard input makes the filter true; never without input, which jq
# takes for true.
cell_holds () { # FILTER
  local text
  text=$(cat)
  [ -n "$text" ] && jq -e "$1" <<<"$text"
}

cell_ready () {
  [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$1/healthz")" = 200 ]
}

cell_stop () {
  local pid
  for pid in $CELL_PIDS; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  for pid in $CELL_PIDS; do
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$CELL_DIR"
}
