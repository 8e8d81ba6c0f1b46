# Functions that start the processes of a small deployment on loopback, for
# other scripts in tools and for the process tests. The script that sources this
# file sets `bin` and `work`. Ports start at $base; every process writes to a log
# file in $work.
base=${base:-20000}
key=${key:-000102030405060708090a0b0c0d0e0f}
# Flags with the shared secret, for entry instances and agents.
key_flags=(--key "$key")
entries=${entries:-3}
pids=()
declare -A pid_of

platform=127.0.0.1:$((base + 1))
fabric=127.0.0.1:$((base + 2))
fabric_control=127.0.0.1:$((base + 3))
service_1=127.0.0.1:$((base + 11))
service_2=127.0.0.1:$((base + 12))

# A process is killed when the shell that started it ends, even when the shell
# itself is killed and its trap doesn't run.
kill_with_parent=()
if command -v setpriv >/dev/null; then
  kill_with_parent=(setpriv --pdeathsig KILL)
fi

# start_process NAME COMMAND... starts a process in the background under a name.
start_process() {
  local name=$1
  shift
  # await_ready must not find the "ready" line of an earlier process.
  rm -f "$work/$name.out"
  "${kill_with_parent[@]}" "$@" >"$work/$name.out" 2>>"$work/$name.log" &
  pid_of[$name]=$!
  pids+=("$!")
}

# await_ready NAME... waits until the processes have printed "ready".
await_ready() {
  local name
  for name in "$@"; do
    for _ in $(seq 200); do
      grep -q '^ready' "$work/$name.out" 2>/dev/null && break
      sleep 0.05
    done
    grep -q '^ready' "$work/$name.out" || {
      echo "$name is not ready after 10 s; its log:" >&2
      cat "$work/$name.log" >&2
      return 1
    }
  done
}

entry_address() { echo "127.0.0.1:$((base + 100 + $1))"; }
agent_address() { echo "127.0.0.1:$((base + 200 + $1))"; }
backend_address() { echo "127.0.0.1:$((base + 300 + $1))"; }
backend_control() { echo "127.0.0.1:$((base + 400 + $1))"; }

entry_list() {
  local list="" i
  for i in $(seq "$entries"); do list+="${list:+,}$(entry_address "$i")"; done
  echo "$list"
}

start_platform() {
  start_process platform "$bin/platform" --listen "$platform" \
    --journal "$work/platform.journal"
}

start_fabric() {
  start_process fabric "$bin/fabric" --listen "$fabric" \
    --control "$fabric_control" --services "$service_1,$service_2" \
    --entries "$(entry_list)" "$@"
}

# start_entry NUMBER
start_entry() {
  start_process "entry$1" "$bin/snipepostd" --role entry --deployment demo \
    --listen "$(entry_address "$1")" --store "$platform" \
    --fabric "$fabric" --peers "$(entry_list)" --domain $((($1 - 1) % 3 + 1)) \
    "${key_flags[@]}"
}

# start_backend NUMBER [FLAG...] starts a backend server emulator.
start_backend() {
  local i=$1
  shift
  start_process "backend$i" "$bin/backend" --listen "$(backend_address "$i")" \
    --control "$(backend_control "$i")" --journal "$work/backend$i.journal" \
    --seed "$i" "$@"
}

# start_agent NUMBER SERVICE
start_agent() {
  start_process "agent$1" "$bin/snipepostd" --role agent --deployment demo \
    --listen "$(agent_address "$1")" --store "$platform" \
    --peers "$(entry_list)" --domain $((($1 - 1) % 3 + 1)) \
    --service "$2" --backend "$(backend_address "$1")" "${key_flags[@]}"
}

ctl() {
  "$bin/snipepostctl" --deployment demo --store "$platform" --by demo "$@"
}

# submit_document creates the two services and three failure domains.
submit_document() {
  local file=$work/document.json
  ctl --file "$file" domain add pl-a pl-central 1
  ctl --file "$file" domain add pl-b pl-central 2
  ctl --file "$file" domain add pl-c pl-central 3
  ctl --file "$file" service add sizing-desk id=1 address="$service_1" \
    rampSeconds="${ramp:-1}"
  ctl --file "$file" service add pattern-store id=2 address="$service_2" \
    class=bulk rampSeconds="${ramp:-1}"
  ctl --file "$file" --no-instances submit
}

# start_reference_deployment [FABRIC FLAG...] starts a deployment of the size
# that users run today: entry instances and 7 + 3 backend servers with agents in
# 3 failure domains. The servers in $late_servers are not started. $backend_flags
# are passed to every backend server.
start_reference_deployment() {
  local names=() i
  start_platform
  start_fabric "$@"
  await_ready platform fabric
  for i in $(seq "$entries"); do start_entry "$i"; names+=("entry$i"); done
  for i in $(seq 10); do
    [[ " ${late_servers:-} " = *" $i "* ]] || start_server "$i"
  done
  await_ready "${names[@]}"
  submit_document
}

# reference_service_of NUMBER prints the service of a server: 1 to 7 are of
# sizing-desk, 8 to 10 of pattern-store.
reference_service_of() { if [ "$1" -le 7 ]; then echo 1; else echo 2; fi; }

# start_server NUMBER starts a backend server of the reference deployment and
# its agent, and appends their names to `names`, a local array of its caller.
start_server() {
  start_backend "$1" ${backend_flags:-}
  start_agent "$1" "$(reference_service_of "$1")"
  names+=("backend$1" "agent$1")
}

# now_ms prints the time on the clock of the journals (monotonic milliseconds).
now_ms() { awk '{ printf "%d", $1 * 1000 }' /proc/uptime; }

request() { curl -s -m 3 --http2-prior-knowledge "$@"; }

# metric ADDRESS NAME prints the value of a metric.
metric() {
  request "http://$1/metrics" | awk -v name="$2" '$1 == name { print $2 }'
}

# stop_process NAME [SIGNAL] sends a signal (default: KILL) and waits until the
# process has exited.
stop_process() {
  local pid=${pid_of[$1]} kept=() other
  kill "-${2:-KILL}" "$pid"
  wait "$pid" 2>/dev/null || true
  # The process ID may be reused from now on.
  for other in "${pids[@]}"; do
    [ "$other" = "$pid" ] || kept+=("$other")
  done
  pids=("${kept[@]}")
  unset "pid_of[$1]"
}

# stop_all stops every process that start_process started, by its process ID.
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do
    for _ in $(seq 60); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.05
    done
    kill -9 "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  pids=()
}
