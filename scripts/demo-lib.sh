# Functions of scripts/demo.sh: ports, settings files, processes, calls and checks.

declare -A pids=()
standin_ports=100

begin() {
  dir=$(mktemp -d "${TMPDIR:-/tmp}/redwing-demo.XXXXXX")
  out=$dir/out
  failed=
  trap finish EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
  choose_ports
}

# finish ends what is left after a fault or a signal: the background jobs of this shell, which are the system's processes
# and the senders of requests. After a planned stop there is nothing to end.
finish() {
  local code=$? job
  for job in $(jobs -p); do
    kill -KILL "$job" 2> /dev/null || true
  done
  wait 2> /dev/null || true
  if [[ $code != 0 && -z $failed ]]; then
    echo "demo: failed with code $code; logs are in $dir" >&2
  elif [[ $code == 0 ]]; then
    rm -r "$dir"
  fi
  exit "$code"
}

step() { printf '== %s\n' "$*"; }
passed() { printf '   ok: %s\n' "$*"; }

fail() {
  failed=1
  printf '   FAILED: %s\n' "$*" >&2
  if [[ -s $out ]]; then sed 's/^/     /' "$out" >&2; fi
  echo "demo: failed; logs are in $dir" >&2
  exit 1
}

# expect WHAT GOT WANT
expect() {
  if [[ $2 != "$3" ]]; then fail "$1: got '$2', want '$3'"; fi
}

# wait_for WHAT SECONDS COMMAND... repeats the command until it succeeds. Its functions must not call fail.
wait_for() {
  local what=$1 end=$((SECONDS + $2))
  shift 2
  tolerant=1
  until "$@" > "$dir/wait" 2>&1; do
    if ((SECONDS > end)); then
      tolerant=
      fail "$what did not come in time: $(tail -n 1 "$dir/wait")"
    fi
    sleep 0.1
  done
  tolerant=
}

# Ports. Each entry VM has 10, the stand-ins have 100 after them.
choose_ports() {
  base_port=${DEMO_PORT:-}
  local try
  for try in 1 2 3 4 5 6 7 8; do
    if [[ -n $base_port ]]; then break; fi
    base_port=$((20000 + RANDOM % 60 * 200))
    if ! ports_free; then base_port=; fi
  done
  if [[ -z $base_port ]]; then fail "found no free ports; set DEMO_PORT"; fi
}

ports_free() {
  local p
  for ((p = base_port; p < base_port + 200; p++)); do
    if (exec 3<> "/dev/tcp/127.0.0.1/$p") 2> /dev/null; then return 1; fi
  done
}

# port VM inner|metrics|callers|operators|scheduler|scheduler-metrics, or port standin control|log|vms|workers|endpoints
port() {
  local i
  if [[ $1 == standin ]]; then
    case $2 in
      control) i=0 ;; log) i=1 ;; vms) i=2 ;; workers) i=10 ;; endpoints) i=40 ;;
    esac
    echo $((base_port + standin_ports + i))
    return
  fi
  for ((i = 0; i < ${#vms[@]}; i++)); do
    if [[ ${vms[$i]} == "$1" ]]; then break; fi
  done
  case $2 in
    inner) i=$((i * 10)) ;; metrics) i=$((i * 10 + 1)) ;; callers) i=$((i * 10 + 2)) ;;
    operators) i=$((i * 10 + 3)) ;; scheduler) i=$((i * 10 + 4)) ;; scheduler-metrics) i=$((i * 10 + 5)) ;;
  esac
  echo $((base_port + i))
}

domain_of() { echo "fd-${1:3:1}"; }

ctl() { bin/redwingctl "$@"; }
quiet() { "$@" > "$out" 2>&1 || fail "$*"; }

# operator VM COMMAND... calls the operator API of a VM as ana. The output is in $out.
operator() {
  local vm=$1 code=0
  shift
  REDWING_ADDR=127.0.0.1:$(port "$vm" operators) REDWING_TOKEN=$(cat "$dir/ana.token") \
    bin/redwingctl "$@" > "$out" 2>&1 || code=$?
  report $code "redwingctl $* at $vm"
}

# caller VM COMMAND... calls the caller API of a VM as account orders. The output is in $out.
caller() {
  local code=0
  caller_code "$@" || code=$?
  report $code "redwingctl $*"
}

# caller_code is caller without a check: it returns the exit code.
caller_code() {
  local vm=$1
  shift
  REDWING_ADDR=127.0.0.1:$(port "$vm" callers) REDWING_TOKEN=$(cat "$dir/orders.token") \
    bin/redwingctl "$@" > "${reply:-$out}" 2>&1
}

# report CODE WHAT fails the demo on a code other than 0 unless the caller waits or expects one.
report() {
  if [[ $1 == 0 || -n ${tolerant:-} ]]; then
    if [[ $1 != 0 ]]; then cat "$out"; fi
    return "$1"
  fi
  fail "$2: exit code $1"
}

# failing CODE COMMAND... expects a call to fail with the code.
failing() {
  local want=$1 code=0
  shift
  tolerant=1
  "$@" > /dev/null || code=$?
  tolerant=
  expect "exit code of $*" "$code" "$want"
}

# field NAME returns the value of a "name: value" line of the last output.
field() { sed -n "s/^$1: //p" "$out"; }

# control PATH reads from the control service of the stand-ins.
control() {
  exec 3<> "/dev/tcp/127.0.0.1/$(port standin control)"
  printf 'GET %s HTTP/1.0\r\n\r\n' "$1" >&3
  sed '1,/^\r$/d' <&3
  exec 3>&-
}

# runs METHOD PATH returns how often a request ran on all endpoints together.
runs() { control /v1/runs.txt | awk -v m="$1" -v p="$2" '$1 == "request" && $2 == m && $3 == p { n += $4 } END { print n + 0 }'; }

# tasks JOB returns the number of members that were released and the largest number of releases of one member.
tasks() {
  control /v1/runs.txt | awk -v j="$1" '$1 == "task" && $2 == j { n[$3] += $4 }
    END { for (m in n) { c++; if (n[m] > x) x = n[m] } print c + 0, x + 0 }'
}

in_force_everywhere() {
  operator vm-c2 config status
  local vm
  for vm in "${vms[@]}"; do
    awk -v vm="$vm" -v v="$1" '$1 == vm && $3 == v { found = 1 } END { exit !found }' "$out" || return 1
  done
}

active_schedulers() {
  operator vm-a1 health
  [[ $(grep -c '^active scheduler of .*: .' "$out") == "$1" ]]
}

work_ms() { echo $(($1 * 250)); }

# orders_done N reports whether N orders have an outcome.
orders_done() { [[ $(cat "$dir"/order-*.outcome 2> /dev/null | grep -c .) -ge $1 ]]; }

# send_order N KEY sends an order that takes N * 250 ms and keeps its outcome.
send_order() {
  local reply=$dir/order-$1.out
  caller_code "$victim" request POST "orders/crash/$1?work_ms=$(work_ms "$1")" -key "$2" || true
  sed -n 's/^outcome: //p' "$reply" > "$dir/order-$1.outcome"
}

# send_reads VM sends 20 idempotent requests one after another and keeps their outcomes, "mismatch" for a response to
# another request.
send_reads() {
  local i reply=$dir/reads-$1.reply
  for i in $(seq 1 20); do
    caller_code "$1" request GET "orders/stock/$1-$i?work_ms=40" || true
    if grep -q '^outcome: completed' "$reply" && ! grep -q "\"path\":\"/stock/$1-$i?" "$reply"; then
      echo mismatch
    else
      sed -n 's/^outcome: //p' "$reply"
    fi
  done > "$dir/reads-$1.out"
}

# send_last VM sends one idempotent request of 1.5 s, longer than the drain time of a gateway, and keeps its outcome.
send_last() {
  local reply=$dir/last-$1.reply
  caller_code "$1" request GET "orders/stock/last-$1?work_ms=1500" || true
  sed -n 's/^outcome: //p' "$reply" > "$dir/last-$1.out"
}

# last_under_way N reports whether endpoints have started N of these requests.
last_under_way() { [[ $(control /v1/runs.txt | grep -c "^request GET /stock/last-") -ge $1 ]]; }

# start NAME COMMAND... starts a process of the system.
start() {
  local name=$1
  shift
  "$@" > "$dir/$name.log" 2>&1 &
  pids[$name]=$!
}

# forget NAME drops a process that was ended on purpose.
forget() {
  wait "${pids[$1]}" 2> /dev/null || true
  unset "pids[$1]"
}

# stop_all ends the daemons, then the stand-ins, and checks that each ends by itself with code 0.
stop_all() {
  local name code
  for name in "${!pids[@]}"; do
    if [[ $name == standin ]]; then continue; fi
    kill -TERM "${pids[$name]}" 2> /dev/null || fail "$name had ended before the planned stop; see $dir/$name.log"
  done
  for name in "${!pids[@]}"; do
    if [[ $name != standin ]]; then ended "$name"; fi
  done
  kill -TERM "${pids[standin]}"
  ended standin
}

# ended NAME waits up to 15 s for the end of a process that was asked to end.
ended() {
  local code=0 end=$((SECONDS + 15))
  while kill -0 "${pids[$1]}" 2> /dev/null; do
    if ((SECONDS > end)); then fail "$1 did not end within 15 s"; fi
    sleep 0.05
  done
  wait "${pids[$1]}" || code=$?
  unset "pids[$1]"
  expect "exit code of $1" "$code" 0
}
