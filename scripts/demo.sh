#!/usr/bin/env bash
# Runs the whole system on loopback and checks the result of each step. See docs/design.md, section 12.
#
# There are 3 failure domains with 2 entry VMs each. Every daemon is a process of its own. The platform's services, the
# workers and the endpoints are stand-ins in one process. The script ends only processes that it started, by their ids.
#
# KEEP=1 leaves the system running after the checks until Enter or a signal.
# DEMO_PORT=N uses the ports N to N+199 instead of free ones.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/demo-lib.sh
source scripts/demo-files.sh

domains=(fd-a fd-b fd-c)
vms=(vm-a1 vm-a2 vm-b1 vm-b2 vm-c1 vm-c2)
crashed_vm=vm-a2
other_vm=vm-b1

start_system() {
  step "keys and settings"
  write_keys
  for vm in "${vms[@]}"; do
    write_gateway_settings "$vm"
    write_scheduler_settings "$vm"
    run_or_fail ctl check-settings gateway "$dir/$vm-gateway.toml"
    run_or_fail ctl check-settings scheduler "$dir/$vm-scheduler.toml"
  done
  write_standin_settings
  passed "12 settings files checked"

  step "processes"
  start_process standin bin/redwing-standin -settings "$dir/standin.toml"
  wait_for "stand-ins" 10 grep -q ready "$dir/standin.log"
  for vm in "${vms[@]}"; do
    start_process "$vm-gateway" bin/redwing-gateway -settings "$dir/$vm-gateway.toml"
    start_process "$vm-scheduler" bin/redwing-scheduler -settings "$dir/$vm-scheduler.toml"
  done
  for vm in "${vms[@]}"; do
    wait_for "operator API of $vm" 10 operator_ctl "$vm" config status -token-file "$dir/bootstrap.token"
  done
  passed "${#pids[@]} processes started"
}

configure() {
  step "configuration"
  write_document
  wait_for "initialisation" 15 operator_ctl vm-a1 config init "$dir/document.json" -token-file "$dir/bootstrap.token"
  passed "version 0 from a document of 12 workers and 6 endpoints"

  operator_ctl vm-a1 account create orders -weight 2 -author ana -reason "ordering service"
  field token > "$dir/orders.token"
  operator_ctl vm-a1 account create scan -author ana -reason "blade profiling"
  field token > "$dir/scan.token"
  operator_ctl vm-a1 guarantee set scan -failure-domain fd-b -members 2 -accelerators 8 -milli-cpu 8000 -memory-mb 16384 \
    -adjacency rack -author ana -reason "batch fittings"
  passed "accounts orders and scan, one guarantee: version $(field version)"

  # The stale patch is sent to another VM, which may learn of version 3 a moment later on a busy machine.
  wait_for "version 3 on all entry VMs" 15 in_force_everywhere 3
  write_patch 3
  operator_ctl vm-a1 config plan "$dir/patch.json"
  operator_ctl vm-a1 config submit "$dir/patch.json"
  expect_equal "patch version" "$(field version)" 4
  expect_exit_code 5 operator_ctl vm-b1 config submit "$dir/stale.json"
  passed "patch accepted as version 4, a second one against the same base refused"

  wait_for "version 4 on all entry VMs" 8 in_force_everywhere 4
  passed "version 4 in force on 6 entry VMs"
  for vm in "${vms[@]}"; do
    wait_for "readiness of $vm" 15 operator_ctl "$vm" health
  done
  wait_for "3 active schedulers" 20 active_schedulers 3
  passed "6 gateways ready, 3 active schedulers"
}

check_requests() {
  step "requests"
  for vm in "${vms[@]}"; do
    caller_ctl "$vm" request GET "orders/stock/$vm"
    expect_equal "idempotent request at $vm" "$(field outcome)" completed
  done
  passed "6 idempotent requests completed, one at each gateway"

  caller_ctl vm-a1 request-key
  local key
  key=$(cat "$out")
  caller_ctl vm-a1 request POST orders/order/1 -key "$key" -data '{"bags":40}'
  expect_equal "first order" "$(field outcome)" completed
  local body
  body=$(field body)
  caller_ctl "$other_vm" request POST orders/order/1 -key "$key" -data '{"bags":40}'
  expect_equal "repeat of the order at another gateway" "$(field outcome)" completed
  expect_equal "response to the repeat" "$(field body)" "$body"
  expect_equal "runs of the order" "$(run_count POST /order/1)" 1
  passed "an order sent twice with the same key, to two gateways, ran once"
}

submit_gang() {
  step "gang of 4 workers with 8 accelerators each"
  operator_ctl "$crashed_vm" job submit -id gang-1 -account scan -failure-domain fd-a -members 4 -accelerators 8 \
    -milli-cpu 8000 -memory-mb 16384 -adjacency rack -run-seconds 8 -- sleep 8
  expect_equal "submission" "$(field outcome)" completed
  operator_ctl vm-a1 job show gang-1 -wait running -wait-timeout 15s
  gang_attempt=$(field attempt)
  expect_equal "workers of the gang" "$(field workers | tr ' ' '\n' | sort -u | grep -c .)" 4
  attempt=$(field attempt)
  passed "the gang runs on $(field workers)"
}

# crash_gateway kills a gateway while it processes orders with keys that it issued.
crash_gateway() {
  step "SIGKILL of the gateway on $crashed_vm while requests are in progress"
  local i
  keys=()
  for i in $(seq 1 12); do
    caller_ctl "$crashed_vm" request-key
    keys+=("$(cat "$out")")
  done
  local senders=()
  for i in $(seq 1 12); do
    send_order "$i" "${keys[$((i - 1))]}" &
    senders+=($!)
  done
  local readers=()
  for vm in vm-a1 vm-b1 vm-c1; do
    send_reads "$vm" &
    readers+=($!)
  done
  wait_for "the first 3 orders" 10 orders_done 3
  kill -KILL "${pids[$crashed_vm-gateway]}"
  reap "$crashed_vm-gateway"
  wait "${senders[@]}" "${readers[@]}" || true
  expect_equal "idempotent requests at other gateways in the meantime" "$(cat "$dir"/reads-*.out | sort | uniq -c | xargs)" \
    "60 completed"
  passed "60 idempotent requests at 3 other gateways completed in the meantime"
  check_orders "${keys[@]}"
}

# check_orders KEY... checks the outcome of each order against the number of times that it ran, and repeats the order with
# its key at another gateway.
check_orders() {
  local i=0 key outcome code ran completed=0 unknown=0 not_run=0
  for key in "$@"; do
    i=$((i + 1))
    outcome=$(cat "$dir/order-$i.outcome")
    ran=$(run_count POST "/crash/$i?work_ms=$(work_ms "$i")")
    case $outcome in
      completed) expect_equal "runs of completed order $i" "$ran" 1; completed=$((completed + 1)) ;;
      not_run) expect_equal "runs of order $i that did not run" "$ran" 0; not_run=$((not_run + 1)) ;;
      unknown) [[ $ran == 0 || $ran == 1 ]] || fail "order $i ran $ran times"; unknown=$((unknown + 1)) ;;
      *) fail "order $i has outcome '$outcome'" ;;
    esac
    code=0
    caller_ctl_unchecked "$other_vm" request POST "orders/crash/$i?work_ms=$(work_ms "$i")" -key "$key" || code=$?
    expect_equal "exit code of the repeat of order $i at $other_vm" "$code" 8
    expect_equal "runs of order $i after the repeat" "$(run_count POST "/crash/$i?work_ms=$(work_ms "$i")")" "$ran"
  done
  [[ $completed -gt 0 && $unknown -gt 0 ]] || fail "$completed orders completed and $unknown are unknown"
  passed "orders at $crashed_vm: $completed completed, $unknown unknown, $not_run not run; none ran twice"
  passed "all 12 orders repeated with their keys at $other_vm: outcome unknown, none ran again"
}

check_recovery() {
  step "recovery of the killed gateway"
  start_process "$crashed_vm-gateway" bin/redwing-gateway -settings "$dir/$crashed_vm-gateway.toml"
  wait_for "readiness of $crashed_vm" 15 operator_ctl "$crashed_vm" health
  caller_ctl "$crashed_vm" request POST orders/order/2 -data '{"bags":8}'
  expect_equal "order at the new gateway" "$(field outcome)" completed
  expect_equal "runs of that order" "$(run_count POST /order/2)" 1
  local code=0 ran
  ran=$(run_count POST "/crash/12?work_ms=$(work_ms 12)")
  caller_ctl_unchecked "$crashed_vm" request POST "orders/crash/12?work_ms=$(work_ms 12)" -key "${keys[11]}" || code=$?
  expect_equal "exit code of the repeat of order 12 at the new gateway" "$code" 8
  expect_equal "runs of order 12" "$(run_count POST "/crash/12?work_ms=$(work_ms 12)")" "$ran"
  passed "gateway on $crashed_vm restarted with keys of its own; the outcome for a key of the killed process stays unknown"

  operator_ctl vm-a1 job show gang-1 -wait completed -wait-timeout 20s
  expect_equal "attempt of the gang" "$(field attempt)" "$gang_attempt"
  expect_equal "members released" "$(release_counts gang-1)" "4 1"
  passed "the gang completed: 4 members, each released once"

  expect_exit_code 6 operator_ctl vm-a1 job submit -id too-large -account scan -failure-domain fd-a -members 5 \
    -accelerators 8 -milli-cpu 8000 -memory-mb 16384 -- sleep 1
  passed "a gang that no worker set could hold is refused"
  operator_ctl vm-a1 config replay
  expect_equal "changes replayed" "$(grep -c '^version' "$out")" 5
  passed "$(grep -c '^version' "$out") configuration changes replayed with author and reason"
}

# wait_for_enter writes a file of environment variables for a second terminal and waits for Enter.
wait_for_enter() {
  (
    umask 077
    cat > "$dir/env" <<ENV
export REDWING_ADDR=127.0.0.1:$(port "${vms[0]}" operators)
export REDWING_TOKEN=$(cat "$dir/ana.token")
export CALLERS=127.0.0.1:$(port "${vms[0]}" callers)
export ORDERS_TOKEN=$dir/orders.token
ENV
  )
  cat <<TEXT

The system is running; its logs and settings are in $dir. In a second terminal, in this directory, run

  source $dir/env

and continue with the README. Press Enter here to stop.
TEXT
  read -r || true
}

check_planned_stop() {
  step "planned stop while requests are in progress"
  local vm last=()
  for vm in "${vms[@]}"; do
    send_last "$vm" &
    last+=($!)
  done
  wait_for "6 requests in progress" 10 last_requests_started 6
  stop_all
  wait "${last[@]}"
  expect_equal "outcomes of the requests in progress" "$(cat "$dir"/last-*.out | sort | uniq -c | xargs)" "6 completed"
  passed "6 requests in progress were completed; every process exited by itself, none is left"
}

prepare_run
start_system
configure
check_requests
submit_gang
crash_gateway
check_recovery
if [[ ${KEEP:-} == 1 ]]; then wait_for_enter; fi
check_planned_stop
echo "demo: ok"
