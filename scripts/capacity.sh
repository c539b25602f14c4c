#!/usr/bin/env bash
# Measures the CPU, network and memory use of each daemon. Runs the real daemons on loopback, with stand-ins for everything
# else.
#
#   scripts/capacity.sh DOMAINS WORKERS TASKS [SECONDS] [CHANGES]
#
# DOMAINS  number of failure domains, 1 to 7, with 2 entry VMs each
# WORKERS  number of workers in each failure domain
# TASKS    number of running tasks, in gangs of up to 16, all in the first failure domain
# SECONDS  duration of the measurement, default 30
# CHANGES  number of pairs of configuration changes (start and stop of a drain) during the measurement, default 0
#
# Prints one line for each daemon of the first failure domain, and one for a gateway of the last.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/demo-lib.sh
source scripts/demo-files.sh

domain_count=${1:?usage: capacity.sh DOMAINS WORKERS TASKS [SECONDS] [CHANGES]}
workers_per_domain=${2:?workers}
task_count=${3:?tasks}
seconds=${4:-30}
change_count=${5:-0}
endpoints_per_domain=2
seats=16
gang_members=16

domain_letters=(a b c d e f g)
domains=()
vms=()
for ((i = 0; i < domain_count; i++)); do
  domains+=("fd-${domain_letters[$i]}")
  vms+=("vm-${domain_letters[$i]}1" "vm-${domain_letters[$i]}2")
done

# Ports: 10 for each entry VM, from the base port on, then those of the stand-ins, with one for each worker.
standin_ports=200
choose_ports() { base_port=${CAPACITY_PORT:-31000}; }
port() {
  local i
  if [[ $1 == standin ]]; then
    case $2 in
      control) i=0 ;; log) i=1 ;; vms) i=2 ;; endpoints) i=10 ;; workers) i=40 ;;
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

# start_system starts all processes, initialises the configuration and waits for the active schedulers.
start_system() {
  write_keys
  for vm in "${vms[@]}"; do
    write_gateway_settings "$vm"
    write_scheduler_settings "$vm"
  done
  write_standin_settings
  start_process standin bin/redwing-standin -settings "$dir/standin.toml"
  wait_for "stand-ins" 20 grep -q ready "$dir/standin.log"
  for vm in "${vms[@]}"; do
    start_process "$vm-gateway" bin/redwing-gateway -settings "$dir/$vm-gateway.toml"
    start_process "$vm-scheduler" bin/redwing-scheduler -settings "$dir/$vm-scheduler.toml"
  done
  write_document
  wait_for "initialisation" 20 operator_ctl vm-a1 config init "$dir/document.json" -token-file "$dir/bootstrap.token"
  operator_ctl vm-a1 account create load -author ana -reason "capacity measurement"
  wait_for "active schedulers" 30 active_schedulers "$domain_count"
}

# submit_tasks submits the tasks and waits until all of them run.
submit_tasks() {
  local left=$task_count members
  while ((left > 0)); do
    members=$((left < gang_members ? left : gang_members))
    operator_ctl vm-a1 job submit -id "gang-$left" -account load -failure-domain fd-a -members "$members" -accelerators 0 \
      -milli-cpu 500 -memory-mb 256 -adjacency none -- sleep 3600
    left=$((left - members))
  done
  if ((task_count > 0)); then
    wait_for "running tasks" 60 all_running
  fi
}

all_running() {
  operator_ctl vm-a1 job list -account load -state running
  [[ $(grep -c '^gang-' "$out") == $(((task_count + gang_members - 1) / gang_members)) ]]
}

# metric_sum PORT REGEXP prints the sum of the counters and gauges whose names match.
metric_sum() {
  exec 3<> "/dev/tcp/127.0.0.1/$1"
  printf 'GET /metrics HTTP/1.0\r\n\r\n' >&3
  sed '1,/^\r$/d' <&3 | tr '{' '\n' | awk -v name="$2" 'last ~ name { if (match($0, /"(count|value)":[0-9]+/)) {
      v = substr($0, RSTART, RLENGTH); sub(/.*:/, "", v); n += v } } { last = $0 }
    END { print n + 0 }'
  exec 3>&-
}

# sample_usage NAME PORT prints the CPU milliseconds, bytes sent and received, and resident kilobytes of a process. PORT is
# its metrics port.
sample_usage() {
  local cpu rss
  cpu=$(awk '{ print ($14 + $15) * 10 }' "/proc/${pids[$1]}/stat")
  rss=$(awk '/^VmRSS/ { print $2 }' "/proc/${pids[$1]}/status")
  echo "$cpu $(metric_sum "$2" 'wire_bytes|bytes_sent|bytes_received') $rss"
}

# make_changes starts and stops drains, spread over about 80 % of the measurement.
make_changes() {
  local i
  for ((i = 0; i < change_count; i++)); do
    operator_ctl vm-a1 drain start "vm-x-$((i % 2))" -author ana -reason "capacity measurement" || true
    operator_ctl vm-a1 drain stop "vm-x-$((i % 2))" -author ana -reason "capacity measurement" || true
    sleep "$(awk -v s="$seconds" -v n="$change_count" 'BEGIN { print s / n * 0.8 }')"
  done
}

# measure prints the resource use of the measured daemons during the measurement.
measure() {
  local names=() ports=() before=() i vm last=${vms[-1]}
  for vm in vm-a1 vm-a2; do
    names+=("$vm-gateway" "$vm-scheduler")
    ports+=("$(port "$vm" metrics)" "$(port "$vm" scheduler-metrics)")
  done
  if [[ $last != vm-a2 ]]; then
    names+=("$last-gateway")
    ports+=("$(port "$last" metrics)")
  fi
  for i in "${!names[@]}"; do before[i]=$(sample_usage "${names[$i]}" "${ports[$i]}"); done
  local began=$SECONDS
  make_changes
  while ((SECONDS - began < seconds)); do sleep 0.2; done
  for i in "${!names[@]}"; do
    echo "${before[$i]} $(sample_usage "${names[$i]}" "${ports[$i]}")" | awk -v name="${names[$i]}" -v s="$seconds" \
      -v d="$domain_count" -v w="$workers_per_domain" -v t="$task_count" -v c="$change_count" '{
      printf "domains=%d workers=%d tasks=%d changes=%d %s cpu=%.2f%% bytes=%.1fKB/s rss=%.1fMB\n",
        d, w, t, c * 2, name, ($4 - $1) / s / 10, ($5 - $2) / s / 1000, $6 / 1024 }'
  done
}

prepare_run
start_system
submit_tasks
sleep 5
measure
operator_ctl vm-a1 health
grep '^active scheduler of fd-a' "$out"
for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}"; done
for name in "${!pids[@]}"; do wait "${pids[$name]}" || true; done
pids=()
