#!/usr/bin/env bash
# Runs daemons of two builds in one system on loopback and checks that they work together.
#
#   scripts/mixed-builds.sh OLD_BIN NEW_BIN
#
# OLD_BIN and NEW_BIN are folders with the programs of a build. In each failure domain the first VM runs the old build and
# the second the new one. All of them share one log. The old redwingctl checks the settings of the new build and the other
# way round. Ends with "mixed builds: ok". Only the processes that this script started are ended, by their ids.
set -euo pipefail
old_bin=$(realpath "${1:?usage: mixed-builds.sh OLD_BIN NEW_BIN}")
new_bin=$(realpath "${2:?usage: mixed-builds.sh OLD_BIN NEW_BIN}")
cd "$(dirname "$0")/.."
source scripts/demo-lib.sh
source scripts/demo-files.sh

domains=(fd-a fd-b fd-c)
vms=(vm-a1 vm-a2 vm-b1 vm-b2 vm-c1 vm-c2)

# build_of VM prints the folder of the programs that the VM runs.
build_of() { if [[ $1 == *1 ]]; then echo "$old_bin"; else echo "$new_bin"; fi; }

# ctl, operator_ctl and caller_ctl_unchecked replace the functions of the demo: a call to a VM uses the redwingctl of the other build.
ctl() { "$new_bin/redwingctl" "$@"; }
ctl_for() { if [[ $1 == *1 ]]; then echo "$new_bin/redwingctl"; else echo "$old_bin/redwingctl"; fi; }
operator_ctl() {
  local vm=$1 code=0
  shift
  REDWING_ADDR=127.0.0.1:$(port "$vm" operators) REDWING_TOKEN=$(cat "$dir/ana.token") \
    "$(ctl_for "$vm")" "$@" > "$out" 2>&1 || code=$?
  check_exit_code $code "redwingctl $* at $vm"
}
caller_ctl_unchecked() {
  local vm=$1
  shift
  REDWING_ADDR=127.0.0.1:$(port "$vm" callers) REDWING_TOKEN=$(cat "$dir/orders.token") \
    "$(ctl_for "$vm")" "$@" > "${reply:-$out}" 2>&1
}

start_scheduler() { start_process "$1-scheduler" "$(build_of "$1")/redwing-scheduler" -settings "$dir/$1-scheduler.toml"; }
start_gateway() { start_process "$1-gateway" "$(build_of "$1")/redwing-gateway" -settings "$dir/$1-gateway.toml"; }

bring_up() {
  step "processes of two builds"
  write_keys
  local vm
  for vm in "${vms[@]}"; do
    write_gateway_settings "$vm"
    write_scheduler_settings "$vm"
    run_or_fail "$old_bin/redwingctl" check-settings gateway "$dir/$vm-gateway.toml"
    run_or_fail "$new_bin/redwingctl" check-settings gateway "$dir/$vm-gateway.toml"
    run_or_fail "$old_bin/redwingctl" check-settings scheduler "$dir/$vm-scheduler.toml"
    run_or_fail "$new_bin/redwingctl" check-settings scheduler "$dir/$vm-scheduler.toml"
  done
  write_standin_settings
  start_process standin "$old_bin/redwing-standin" -settings "$dir/standin.toml"
  wait_for "stand-ins" 10 grep -q ready "$dir/standin.log"
  for vm in "${vms[@]}"; do
    start_gateway "$vm"
    start_scheduler "$vm"
  done
  for vm in "${vms[@]}"; do
    wait_for "operator API of $vm" 10 operator_ctl "$vm" config status -token-file "$dir/bootstrap.token"
  done
  passed "12 daemons run; both builds accept all settings files"
}

# same_everywhere WHAT COMMAND... checks that the command prints the same at all VMs.
same_everywhere() {
  local what=$1 vm
  shift
  for vm in "${vms[@]}"; do
    operator_ctl "$vm" "$@"
    cp "$out" "$dir/same-$vm"
    cmp -s "$dir/same-${vms[0]}" "$dir/same-$vm" || fail "$what differs between ${vms[0]} and $vm"
  done
}

configure() {
  step "configuration patches from both builds"
  write_document
  wait_for "initialisation" 15 operator_ctl vm-a1 config init "$dir/document.json" -token-file "$dir/bootstrap.token"
  operator_ctl vm-a2 account create orders -weight 2 -author ana -reason "ordering service"
  field token > "$dir/orders.token"
  operator_ctl vm-b1 account create scan -author ana -reason "blade profiling"
  operator_ctl vm-b2 guarantee set scan -failure-domain fd-b -members 2 -accelerators 8 -milli-cpu 8000 -memory-mb 16384 \
    -adjacency rack -author ana -reason "batch fittings"
  wait_for "version 3 on all VMs" 15 in_force_everywhere 3
  local vm
  for vm in "${vms[@]}"; do
    wait_for "readiness of $vm" 15 operator_ctl "$vm" health
  done
  wait_for "3 active schedulers" 20 active_schedulers 3
  same_everywhere "the configuration" config show
  same_everywhere "the configuration log" config log
  passed "version 3 from patches at 4 VMs; all VMs print the same configuration and the same log"
}

# submit_in_background VM FILE submits a patch while others are submitted; the decision is read later.
submit_in_background() {
  REDWING_ADDR=127.0.0.1:$(port "$1" operators) REDWING_TOKEN=$(cat "$dir/ana.token") \
    "$(ctl_for "$1")" config submit "$2" > "$2.out" 2>&1 &
  submitters+=($!)
}

# decision_everywhere ID prints the outcome of a patch and checks that all VMs give the same decision, with the same error.
decision_everywhere() {
  local vm
  for vm in "${vms[@]}"; do
    allow_failure=1
    operator_ctl "$vm" config settle "$1" -o json > /dev/null || true
    allow_failure=
    cp "$out" "$dir/decision-$1-$vm"
    cmp -s "$dir/decision-$1-vm-a1" "$dir/decision-$1-$vm" || fail "the decision about $1 differs between vm-a1 and $vm"
  done
  if grep -q '"outcome":"accepted"' "$out"; then echo accepted; else echo refused; fi
}

# race submits two patches on one base at VMs of different builds. Both must reach the log, so that each VM decides itself.
race() {
  step "two patches on one base at once, one from each build"
  local submitters=() outcomes
  write_patch 3
  submit_in_background vm-a2 "$dir/patch.json"
  submit_in_background vm-b1 "$dir/stale.json"
  wait "${submitters[@]}" || true
  wait_for "version 4 on all VMs" 15 in_force_everywhere 4
  outcomes="$(decision_everywhere weigh-fragmentation) $(decision_everywhere weigh-completion)"
  expect_equal "outcomes in order" "$(tr ' ' '\n' <<< "$outcomes" | sort | xargs)" "accepted refused"
  cat "$dir"/decision-weigh-*-vm-a1 | grep '"kind"' || fail "no VM stored the refused patch with its error"
  passed "one accepted, one refused; all VMs give the same decision and the same error"
}

requests() {
  step "requests and idempotency keys across builds"
  local vm key body pair
  for vm in "${vms[@]}"; do
    caller_ctl "$vm" request GET "orders/stock/$vm"
    expect_equal "idempotent request at $vm" "$(field outcome)" completed
  done
  for pair in "vm-a1 vm-b2" "vm-a2 vm-b1"; do
    set -- $pair
    caller_ctl "$1" request-key
    key=$(cat "$out")
    caller_ctl "$1" request POST "orders/order/$1" -key "$key" -data '{"bags":40}'
    expect_equal "order at $1" "$(field outcome)" completed
    body=$(field body)
    caller_ctl "$2" request POST "orders/order/$1" -key "$key" -data '{"bags":40}'
    expect_equal "repeat at $2" "$(field outcome) $(field body)" "completed $body"
    expect_equal "runs of the order" "$(run_count POST "/order/$1")" 1
  done
  passed "6 requests completed; an order of each build, repeated with its key at the other, ran once"
}

# submit_gang VM ID SECONDS
submit_gang() {
  operator_ctl "$1" job submit -id "$2" -account scan -failure-domain fd-a -members 2 -accelerators 8 \
    -milli-cpu 8000 -memory-mb 16384 -adjacency rack -run-seconds "$3" -- sleep "$3"
  expect_equal "submission of $2 at $1" "$(field outcome)" completed
}

jobs_across() {
  step "jobs across builds"
  submit_gang vm-b1 gang-old 2
  submit_gang vm-b2 gang-new 2
  operator_ctl vm-b2 job show gang-old -wait completed -wait-timeout 20s
  operator_ctl vm-b1 job show gang-new -wait completed -wait-timeout 20s
  expect_equal "members of gang-old, releases of one" "$(release_counts gang-old)" "2 1"
  expect_equal "members of gang-new, releases of one" "$(release_counts gang-new)" "2 1"
  same_everywhere "the list of jobs" job list
  passed "a gang submitted at each build was seen at the other and ran once"
}

active_in_a() {
  operator_ctl vm-c1 health
  field "active scheduler of fd-a"
}

active_is() { [[ $(active_in_a) == "$1" ]]; }

# take_over FROM TO N kills the active scheduler and checks that the other build continues its gang.
take_over() {
  local from=$1 to=$2 job=gang-$3 attempt
  submit_gang "$to" "$job" 14
  operator_ctl "$to" job show "$job" -wait running -wait-timeout 15s
  attempt=$(field attempt)
  kill -KILL "${pids[$from-scheduler]}"
  reap "$from-scheduler"
  wait_for "takeover by $to" 25 active_is "$to"
  operator_ctl "$from" job show "$job" -wait completed -wait-timeout 30s
  expect_equal "attempt of $job" "$(field attempt)" "$attempt"
  expect_equal "members of $job, releases of one" "$(release_counts "$job")" "2 1"
  start_scheduler "$from"
  operator_ctl "$to" drain start w-fd-c-1 -author ana -reason "fan replacement"
  local version
  version=$(field version)
  wait_for "version $version on all VMs" 15 in_force_everywhere "$version"
  operator_ctl "$from" drain stop w-fd-c-1 -author ana -reason "fan replaced"
  version=$(field version)
  wait_for "version $version on all VMs" 15 in_force_everywhere "$version"
  same_everywhere "the configuration" config show
  passed "the scheduler of $to took over from that of $from; the gang went on with attempt $attempt"
}

takeovers() {
  step "takeover from one build to the other and back"
  local first second
  first=$(active_in_a)
  if [[ $first == vm-a1 ]]; then second=vm-a2; else second=vm-a1; fi
  take_over "$first" "$second" 1
  take_over "$second" "$first" 2
  take_over "$first" "$second" 3
  same_everywhere "the list of jobs" job list
}

prepare_run
bring_up
configure
race
requests
jobs_across
takeovers
step "planned stop"
stop_all
passed "every process ended by itself"
echo "mixed builds: ok"
