#!/usr/bin/env bash
# Runs the whole system on loopback and checks what became of each step. See docs/design.md, section 12.
#
# 3 failure domains with 2 entry VMs each; every daemon is a process of its own. The platform's services, workers and
# endpoints are stand-ins in one process. Only the processes that this script started are ended, by their ids.
#
# KEEP=1 leaves the system running after the checks until Enter or a signal.
# DEMO_PORT=N uses the ports N to N+199 instead of free ones.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/demo-lib.sh
source scripts/demo-files.sh

domains=(fd-a fd-b fd-c)
vms=(vm-a1 vm-a2 vm-b1 vm-b2 vm-c1 vm-c2)
victim=vm-a2
other=vm-b1

bring_up() {
  step "keys and settings"
  write_keys
  for vm in "${vms[@]}"; do
    write_gateway_settings "$vm"
    write_scheduler_settings "$vm"
    quiet ctl check-settings gateway "$dir/$vm-gateway.toml"
    quiet ctl check-settings scheduler "$dir/$vm-scheduler.toml"
  done
  write_standin_settings
  passed "12 settings files checked"

  step "processes"
  start standin bin/redwing-standin -settings "$dir/standin.toml"
  wait_for "stand-ins" 10 grep -q ready "$dir/standin.log"
  for vm in "${vms[@]}"; do
    start "$vm-gateway" bin/redwing-gateway -settings "$dir/$vm-gateway.toml"
    start "$vm-scheduler" bin/redwing-scheduler -settings "$dir/$vm-scheduler.toml"
  done
  for vm in "${vms[@]}"; do
    wait_for "operator API of $vm" 10 operator "$vm" config status -token-file "$dir/bootstrap.token"
  done
  passed "${#pids[@]} processes run"
}

configure() {
  step "configuration"
  write_document
  wait_for "initialisation" 15 operator vm-a1 config init "$dir/document.json" -token-file "$dir/bootstrap.token"
  passed "version 0 from a document of 12 workers and 6 endpoints"

  operator vm-a1 account create orders -weight 2 -author ana -reason "ordering service"
  field token > "$dir/orders.token"
  operator vm-a1 account create scan -author ana -reason "blade profiling"
  field token > "$dir/scan.token"
  operator vm-a1 guarantee set scan -failure-domain fd-b -members 2 -accelerators 8 -milli-cpu 8000 -memory-mb 16384 \
    -adjacency rack -author ana -reason "batch fittings"
  passed "accounts orders and scan, one guarantee: version $(field version)"

  # The stale patch goes to another VM, which may follow a moment later on a busy machine.
  wait_for "version 3 on all entry VMs" 15 in_force_everywhere 3
  write_patch 3
  operator vm-a1 config plan "$dir/patch.json"
  operator vm-a1 config submit "$dir/patch.json"
  expect "patch version" "$(field version)" 4
  failing 5 operator vm-b1 config submit "$dir/stale.json"
  passed "patch accepted as version 4, a second one on the same base refused"

  wait_for "version 4 on all entry VMs" 8 in_force_everywhere 4
  passed "version 4 in force on 6 entry VMs"
  for vm in "${vms[@]}"; do
    wait_for "readiness of $vm" 15 operator "$vm" health
  done
  wait_for "3 active schedulers" 20 active_schedulers 3
  passed "6 gateways ready, 3 active schedulers"
}

requests() {
  step "requests"
  for vm in "${vms[@]}"; do
    caller "$vm" request GET "orders/stock/$vm"
    expect "idempotent request at $vm" "$(field outcome)" completed
  done
  passed "6 idempotent requests completed, one at each gateway"

  caller vm-a1 request-key
  local key
  key=$(cat "$out")
  caller vm-a1 request POST orders/order/1 -key "$key" -data '{"bags":40}'
  expect "first order" "$(field outcome)" completed
  local body
  body=$(field body)
  caller "$other" request POST orders/order/1 -key "$key" -data '{"bags":40}'
  expect "repeat of the order at another gateway" "$(field outcome)" completed
  expect "response to the repeat" "$(field body)" "$body"
  expect "runs of the order" "$(runs POST /order/1)" 1
  passed "an order sent twice with one key, at two gateways, ran once"
}

gang() {
  step "gang of 4 workers with 8 accelerators each"
  operator "$victim" job submit -id gang-1 -account scan -failure-domain fd-a -members 4 -accelerators 8 \
    -milli-cpu 8000 -memory-mb 16384 -adjacency rack -run-seconds 8 -- sleep 8
  expect "submission" "$(field outcome)" completed
  operator vm-a1 job show gang-1 -wait running -wait-timeout 15s
  gang_attempt=$(field attempt)
  expect "workers of the gang" "$(field workers | tr ' ' '\n' | sort -u | grep -c .)" 4
  attempt=$(field attempt)
  passed "runs on $(field workers)"
}

# crash kills a gateway while orders with keys of its own are under way there.
crash() {
  step "SIGKILL of the gateway on $victim while requests go on"
  local i
  keys=()
  for i in $(seq 1 12); do
    caller "$victim" request-key
    keys+=("$(cat "$out")")
  done
  local senders=()
  for i in $(seq 1 12); do
    send_order "$i" "${keys[$((i - 1))]}" &
    senders+=($!)
  done
  local bystanders=()
  for vm in vm-a1 vm-b1 vm-c1; do
    send_reads "$vm" &
    bystanders+=($!)
  done
  wait_for "the first 3 orders" 10 orders_done 3
  kill -KILL "${pids[$victim-gateway]}"
  forget "$victim-gateway"
  wait "${senders[@]}" "${bystanders[@]}" || true
  expect "idempotent requests at other gateways meanwhile" "$(cat "$dir"/reads-*.out | sort | uniq -c | xargs)" \
    "60 completed"
  passed "60 idempotent requests at 3 other gateways completed meanwhile"
  check_orders "${keys[@]}"
}

# check_orders checks the outcome of each order against its run counter, and repeats it with its key elsewhere.
check_orders() {
  local i=0 key outcome code ran completed=0 unknown=0 not_run=0
  for key in "$@"; do
    i=$((i + 1))
    outcome=$(cat "$dir/order-$i.outcome")
    ran=$(runs POST "/crash/$i?work_ms=$(work_ms "$i")")
    case $outcome in
      completed) expect "runs of completed order $i" "$ran" 1; completed=$((completed + 1)) ;;
      not_run) expect "runs of order $i that did not run" "$ran" 0; not_run=$((not_run + 1)) ;;
      unknown) [[ $ran == 0 || $ran == 1 ]] || fail "order $i ran $ran times"; unknown=$((unknown + 1)) ;;
      *) fail "order $i has outcome '$outcome'" ;;
    esac
    code=0
    caller_code "$other" request POST "orders/crash/$i?work_ms=$(work_ms "$i")" -key "$key" || code=$?
    expect "exit code of the repeat of order $i at $other" "$code" 8
    expect "runs of order $i after the repeat" "$(runs POST "/crash/$i?work_ms=$(work_ms "$i")")" "$ran"
  done
  [[ $completed -gt 0 && $unknown -gt 0 ]] || fail "$completed orders completed and $unknown are unknown"
  passed "orders at $victim: $completed completed, $unknown unknown, $not_run not run; none ran twice"
  passed "all 12 repeated with their keys at $other: unknown, none ran again"
}

recover() {
  step "recovery"
  start "$victim-gateway" bin/redwing-gateway -settings "$dir/$victim-gateway.toml"
  wait_for "readiness of $victim" 15 operator "$victim" health
  caller "$victim" request POST orders/order/2 -data '{"bags":8}'
  expect "order at the new gateway" "$(field outcome)" completed
  expect "runs of that order" "$(runs POST /order/2)" 1
  local code=0 ran
  ran=$(runs POST "/crash/12?work_ms=$(work_ms 12)")
  caller_code "$victim" request POST "orders/crash/12?work_ms=$(work_ms 12)" -key "${keys[11]}" || code=$?
  expect "exit code of the repeat of order 12 at the new gateway" "$code" 8
  expect "runs of order 12" "$(runs POST "/crash/12?work_ms=$(work_ms 12)")" "$ran"
  passed "gateway on $victim runs again with keys of its own; a key of its predecessor stays unknown"

  operator vm-a1 job show gang-1 -wait completed -wait-timeout 20s
  expect "attempt of the gang" "$(field attempt)" "$gang_attempt"
  expect "members released" "$(tasks gang-1)" "4 1"
  passed "the gang completed: 4 members, each released once"

  failing 6 operator vm-a1 job submit -id too-large -account scan -failure-domain fd-a -members 5 -accelerators 8 \
    -milli-cpu 8000 -memory-mb 16384 -- sleep 1
  passed "a gang that no worker set could hold is refused"
  operator vm-a1 config replay
  expect "changes replayed" "$(grep -c '^version' "$out")" 5
  passed "$(grep -c '^version' "$out") configuration changes replayed with author and reason"
}

keep() {
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

The system runs; logs and settings are in $dir. In a second terminal, in this directory, type

  source $dir/env

and go on with the README. Press Enter here to stop.
TEXT
  read -r || true
}

shut_down() {
  step "planned stop while requests are under way"
  local vm last=()
  for vm in "${vms[@]}"; do
    send_last "$vm" &
    last+=($!)
  done
  wait_for "6 requests under way" 10 last_under_way 6
  stop_all
  wait "${last[@]}"
  expect "outcomes of requests under way" "$(cat "$dir"/last-*.out | sort | uniq -c | xargs)" "6 completed"
  passed "6 requests under way were finished; every process ended by itself, none is left"
}

begin
bring_up
configure
requests
gang
crash
recover
if [[ ${KEEP:-} == 1 ]]; then keep; fi
shut_down
echo "demo: ok"
