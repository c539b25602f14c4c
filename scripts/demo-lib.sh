# Functions of demo.sh and capacity.sh: ports, processes, requests and checks.

declare -A pids=()
standin_ports=100

# prepare_run creates the working directory, installs the traps and chooses the ports.
prepare_run() {
  dir=$(mktemp -d "${TMPDIR:-/tmp}/redwing-demo.XXXXXX")
  out=$dir/out
  failed=
  trap cleanup EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
  choose_ports
}

# cleanup kills the background jobs of this shell that are still running after a failure or a signal: processes of the
# system and senders of requests. After a planned stop there are none.
cleanup() {
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

# expect_equal WHAT GOT WANT fails the run unless GOT equals WANT.
expect_equal() {
  if [[ $2 != "$3" ]]; then fail "$1: got '$2', want '$3'"; fi
}

# wait_for WHAT SECONDS COMMAND... repeats the command until it succeeds, and fails the run after SECONDS. The command must
# not call fail.
wait_for() {
  local what=$1 end=$((SECONDS + $2))
  shift 2
  allow_failure=1
  until "$@" > "$dir/wait" 2>&1; do
    if ((SECONDS > end)); then
      allow_failure=
      fail "timed out waiting for $what: $(tail -n 1 "$dir/wait")"
    fi
    sleep 0.1
  done
  allow_failure=
}

# choose_ports sets base_port to the first of 200 free ports, or to DEMO_PORT. Each entry VM has 10 ports; the stand-ins
# have the last 100.
choose_ports() {
  base_port=${DEMO_PORT:-}
  local try
  for try in 1 2 3 4 5 6 7 8; do
    if [[ -n $base_port ]]; then break; fi
    base_port=$((20000 + RANDOM % 60 * 200))
    if ! ports_free; then base_port=; fi
  done
  if [[ -z $base_port ]]; then fail "no free ports found; set DEMO_PORT"; fi
}

ports_free() {
  local p
  for ((p = base_port; p < base_port + 200; p++)); do
    if (exec 3<> "/dev/tcp/127.0.0.1/$p") 2> /dev/null; then return 1; fi
  done
}

# port NAME LISTENER prints the port of a listener. LISTENER is inner, metrics, callers, operators, scheduler or
# scheduler-metrics for a VM, and control, log, vms, workers or endpoints for NAME standin.
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

# domain_of VM prints the failure domain of a VM.
domain_of() { echo "fd-${1:3:1}"; }

# ctl runs redwingctl.
ctl() { bin/redwingctl "$@"; }
# run_or_fail COMMAND... runs a command with its output in $out, and fails the run if the command fails.
run_or_fail() { "$@" > "$out" 2>&1 || fail "$*"; }

# operator_ctl VM COMMAND... runs redwingctl against the operator API of a VM as operator ana. The output is in $out.
operator_ctl() {
  local vm=$1 code=0
  shift
  REDWING_ADDR=127.0.0.1:$(port "$vm" operators) REDWING_TOKEN=$(cat "$dir/ana.token") \
    bin/redwingctl "$@" > "$out" 2>&1 || code=$?
  check_exit_code $code "redwingctl $* at $vm"
}

# caller_ctl VM COMMAND... runs redwingctl against the caller API of a VM as account orders. The output is in $out.
caller_ctl() {
  local code=0
  caller_ctl_unchecked "$@" || code=$?
  check_exit_code $code "redwingctl $*"
}

# caller_ctl_unchecked VM COMMAND... does the same without checking the exit code, which it returns. The output is in $reply
# if that is set.
caller_ctl_unchecked() {
  local vm=$1
  shift
  REDWING_ADDR=127.0.0.1:$(port "$vm" callers) REDWING_TOKEN=$(cat "$dir/orders.token") \
    bin/redwingctl "$@" > "${reply:-$out}" 2>&1
}

# check_exit_code CODE WHAT fails the run if CODE is not 0. Within wait_for and expect_exit_code it returns CODE instead.
check_exit_code() {
  if [[ $1 == 0 || -n ${allow_failure:-} ]]; then
    if [[ $1 != 0 ]]; then cat "$out"; fi
    return "$1"
  fi
  fail "$2: exit code $1"
}

# expect_exit_code CODE COMMAND... fails the run unless the command exits with CODE.
expect_exit_code() {
  local want=$1 code=0
  shift
  allow_failure=1
  "$@" > /dev/null || code=$?
  allow_failure=
  expect_equal "exit code of $*" "$code" "$want"
}

# field NAME prints the value of the "name: value" line of that name in the last output.
field() { sed -n "s/^$1: //p" "$out"; }

# control_get PATH prints the response of the stand-ins' control service to a GET request.
control_get() {
  exec 3<> "/dev/tcp/127.0.0.1/$(port standin control)"
  printf 'GET %s HTTP/1.0\r\n\r\n' "$1" >&3
  sed '1,/^\r$/d' <&3
  exec 3>&-
}

# run_count METHOD PATH prints how often a request ran, summed over all endpoints.
run_count() { control_get /v1/runs.txt | awk -v m="$1" -v p="$2" '$1 == "request" && $2 == m && $3 == p { n += $4 } END { print n + 0 }'; }

# release_counts JOB prints the number of members of a gang that were released, and the largest number of releases of one
# member.
release_counts() {
  control_get /v1/runs.txt | awk -v j="$1" '$1 == "task" && $2 == j { n[$3] += $4 }
    END { for (m in n) { c++; if (n[m] > x) x = n[m] } print c + 0, x + 0 }'
}

# in_force_everywhere VERSION reports whether the version is in force on all entry VMs.
in_force_everywhere() {
  operator_ctl vm-c2 config status
  local vm
  for vm in "${vms[@]}"; do
    awk -v vm="$vm" -v v="$1" '$1 == vm && $3 == v { found = 1 } END { exit !found }' "$out" || return 1
  done
}

# active_schedulers N reports whether N failure domains have an active scheduler.
active_schedulers() {
  operator_ctl vm-a1 health
  [[ $(grep -c '^active scheduler of .*: .' "$out") == "$1" ]]
}

# work_ms N prints the processing time of order N in milliseconds.
work_ms() { echo $(($1 * 250)); }

# orders_done N reports whether at least N orders have an outcome.
orders_done() { [[ $(cat "$dir"/order-*.outcome 2> /dev/null | grep -c .) -ge $1 ]]; }

# send_order N KEY sends order N, which takes N * 250 ms, and writes its outcome to order-N.outcome.
send_order() {
  local reply=$dir/order-$1.out
  caller_ctl_unchecked "$crashed_vm" request POST "orders/crash/$1?work_ms=$(work_ms "$1")" -key "$2" || true
  sed -n 's/^outcome: //p' "$reply" > "$dir/order-$1.outcome"
}

# send_reads VM sends 20 idempotent requests one after another and writes their outcomes to a file. The outcome of a
# response that belongs to another request is "mismatch".
send_reads() {
  local i reply=$dir/reads-$1.reply
  for i in $(seq 1 20); do
    caller_ctl_unchecked "$1" request GET "orders/stock/$1-$i?work_ms=40" || true
    if grep -q '^outcome: completed' "$reply" && ! grep -q "\"path\":\"/stock/$1-$i?" "$reply"; then
      echo mismatch
    else
      sed -n 's/^outcome: //p' "$reply"
    fi
  done > "$dir/reads-$1.out"
}

# send_last VM sends one idempotent request that takes 1.5 s, longer than the drain time of a gateway, and writes its
# outcome to a file.
send_last() {
  local reply=$dir/last-$1.reply
  caller_ctl_unchecked "$1" request GET "orders/stock/last-$1?work_ms=1500" || true
  sed -n 's/^outcome: //p' "$reply" > "$dir/last-$1.out"
}

# last_requests_started N reports whether endpoints have started at least N of the requests of send_last.
last_requests_started() { [[ $(control_get /v1/runs.txt | grep -c "^request GET /stock/last-") -ge $1 ]]; }

# start_process NAME COMMAND... starts a process of the system in the background, with its output in NAME.log.
start_process() {
  local name=$1
  shift
  "$@" > "$dir/$name.log" 2>&1 &
  pids[$name]=$!
}

# reap NAME waits for a process that was killed on purpose and removes it from pids.
reap() {
  wait "${pids[$1]}" 2> /dev/null || true
  unset "pids[$1]"
}

# stop_all stops the daemons, then the stand-ins, with SIGTERM and checks that each exits by itself with code 0.
stop_all() {
  local name code
  for name in "${!pids[@]}"; do
    if [[ $name == standin ]]; then continue; fi
    kill -TERM "${pids[$name]}" 2> /dev/null || fail "$name exited before the planned stop; see $dir/$name.log"
  done
  for name in "${!pids[@]}"; do
    if [[ $name != standin ]]; then wait_for_exit "$name"; fi
  done
  kill -TERM "${pids[standin]}"
  wait_for_exit standin
}

# wait_for_exit NAME waits up to 15 s for a process to exit after SIGTERM, and checks that its exit code is 0.
wait_for_exit() {
  local code=0 end=$((SECONDS + 15))
  while kill -0 "${pids[$1]}" 2> /dev/null; do
    if ((SECONDS > end)); then fail "$1 did not exit within 15 s"; fi
    sleep 0.05
  done
  wait "${pids[$1]}" || code=$?
  unset "pids[$1]"
  expect_equal "exit code of $1" "$code" 0
}
