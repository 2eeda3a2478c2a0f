# Functions that start and stop a small cluster on loopback: the stand-in platform, stand-in backend
# servers, and entry daemons.  Sourced by bash scripts.
#
#   cluster_start BUILD_DIR     starts the platform; sets CLUSTER_DIR and PLATFORM
#   cluster_start_backends ENVIRONMENT ZONES [FLAG...]
#                               starts backend servers; sets CONTROL_<environment>
#   cluster_start_daemon VM ZONE [FLAG...]
#                               starts an entry daemon; sets CALLER_<vm>, OPERATOR_<vm>, PID_<vm>
#   cluster_stop                kills every process that these functions started
#
# Names of variables have '_' where the name of the VM or environment has '-'.

cluster_start () {
  CLUSTER_BUILD=$1
  CLUSTER_DIR=$(mktemp -d)
  CLUSTER_PIDS=""
  cluster_start_process platform "$CLUSTER_BUILD/standins/standin-platform"
  PLATFORM=$(cluster_read_value platform platform)
}

# cluster_start_process NAME COMMAND...: runs a program in the background, with standard output in
# CLUSTER_DIR/NAME.out and standard error in CLUSTER_DIR/NAME.log; sets CLUSTER_LAST_PID.
cluster_start_process () {
  local name=$1
  shift
  "$@" >"$CLUSTER_DIR/$name.out" 2>"$CLUSTER_DIR/$name.log" &
  CLUSTER_LAST_PID=$!
  CLUSTER_PIDS="$CLUSTER_PIDS $CLUSTER_LAST_PID"
}

# cluster_read_value NAME KEY: waits until the output of the program has a line KEY=VALUE, and prints
# the value.  Fails after 500 polls, 20 ms apart.
cluster_read_value () {
  local name=$1 key=$2 value="" polls=0
  while [ -z "$value" ]; do
    value=$(sed -n "s/^$key=//p" "$CLUSTER_DIR/$name.out")
    polls=$((polls + 1))
    [ "$polls" -lt 500 ] || { echo "cluster: $name did not print $key=" >&2; cat "$CLUSTER_DIR/$name.log" >&2; return 1; }
    [ -n "$value" ] || sleep 0.02
  done
  echo "$value"
}

cluster_start_backends () {
  local name=$1 zones=$2
  shift 2
  cluster_start_process "backends-$name" "$CLUSTER_BUILD/standins/standin-backends" \
    --platform="$PLATFORM" --environment="$name" --zones="$zones" "$@"
  printf -v "CONTROL_${name//-/_}" '%s' "$(cluster_read_value "backends-$name" control)"
}

# Sets CLUSTER_PORT to a free port.  Ports in use are skipped.  Letting a listener pick a port and
# release it again would be racy, so the ports are taken from outside the kernel's ephemeral range.
CLUSTER_PORT=$((10000 + ($$ * 37) % 20000))
cluster_find_port () {
  while :; do
    CLUSTER_PORT=$((CLUSTER_PORT + 1))
    (exec 3<>"/dev/tcp/127.0.0.1/$CLUSTER_PORT") 2>/dev/null || break
  done
}

# cluster_register_vm VM ZONE ADDRESS: adds an entry VM to the list of VMs of the platform.
cluster_register_vm () {
  curl -s -o /dev/null -X POST "http://$PLATFORM/v1/vms" -H 'Content-Type: application/json' \
    -d "{\"vms\":[{\"id\":\"$1\",\"role\":\"entry\",\"zone\":\"$2\",\"address\":\"$3\",\"state\":\"live\"}]}"
}

cluster_start_daemon () {
  local vm=$1 zone=$2 name=${1//-/_}
  shift 2
  local caller_name="CALLER_$name" operator_name="OPERATOR_$name"
  local caller=${!caller_name:-} operator=${!operator_name:-}
  # A VM that is started again keeps its addresses.
  [ -n "$caller" ] || { cluster_find_port; caller="127.0.0.1:$CLUSTER_PORT"; }
  [ -n "$operator" ] || { cluster_find_port; operator="127.0.0.1:$CLUSTER_PORT"; }
  cluster_register_vm "$vm" "$zone" "$caller"
  cluster_start_process "$vm" "$CLUSTER_BUILD/src/mimosastaird" --vm="$vm" --zone="$zone" --listen="$caller" \
    --operator-listen="$operator" --platform-kv="$PLATFORM" --platform-list="$PLATFORM" "$@"
  printf -v "CALLER_$name" '%s' "$caller"
  printf -v "OPERATOR_$name" '%s' "$operator"
  printf -v "PID_$name" '%s' "$CLUSTER_LAST_PID"
}

# cluster_wait_until SECONDS COMMAND...: repeats the command until it succeeds; fails after SECONDS.
cluster_wait_until () {
  local seconds=$1 end
  shift
  end=$(($(date +%s%N) + seconds * 1000000000))
  until "$@" >/dev/null 2>&1; do
    [ "$(date +%s%N)" -lt "$end" ] || { echo "cluster: timed out after $seconds s: $*" >&2; return 1; }
    sleep 0.02
  done
}

# Succeeds when the jq filter is true for the JSON on standard input.  Fails on empty input, for which
# jq itself reports success.
json_matches () { # FILTER
  local text
  text=$(cat)
  [ -n "$text" ] && jq -e "$1" <<<"$text"
}

# vm_is_ready ADDRESS: succeeds when the VM reports on /healthz that it is ready.
vm_is_ready () {
  [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$1/healthz")" = 200 ]
}

cluster_stop () {
  local pid
  for pid in $CLUSTER_PIDS; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  for pid in $CLUSTER_PIDS; do
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$CLUSTER_DIR"
}
