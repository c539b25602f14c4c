# Functions of demo.sh and capacity.sh that write keys, settings files, the configuration document and patches to $dir.

# write_keys writes the TLS keys and certificates of all VMs, and the bootstrap and operator tokens.
write_keys() {
  local names
  names=$(IFS=,; echo "${vms[*]}")
  run_or_fail ctl dev-certs "$dir/keys" -vms "$names"
  new_token bootstrap
  new_token ana
}

# new_token NAME writes a new token to NAME.token and its digest to NAME.digest.
new_token() {
  run_or_fail ctl token new
  (umask 077 && field token > "$dir/$1.token")
  field digest > "$dir/$1.digest"
}

# common_settings VM prints the settings that the gateway and the scheduler have in common.
common_settings() {
  cat <<TOML
failure_domain = "$(domain_of "$1")"
vm = "$1"
region = "north"

[platform]
log_url = "http://127.0.0.1:$(port standin log)"
vm_list_url = "http://127.0.0.1:$(port standin vms)"

[tls]
certificate = "keys/$1.pem"
key = "keys/$1.key"
ca = "keys/ca.pem"

[log]
level = "info"

TOML
  local peer
  for peer in "${vms[@]}"; do
    cat <<TOML
[[peers]]
vm = "$peer"
role = "gateway"
failure_domain = "$(domain_of "$peer")"
inner = "127.0.0.1:$(port "$peer" inner)"

[[peers]]
vm = "$peer"
role = "scheduler"
failure_domain = "$(domain_of "$peer")"
inner = "127.0.0.1:$(port "$peer" scheduler)"

TOML
  done
}

write_gateway_settings() {
  {
    common_settings "$1"
    cat <<TOML
[listen]
inner = "127.0.0.1:$(port "$1" inner)"
metrics = "127.0.0.1:$(port "$1" metrics)"
callers = "127.0.0.1:$(port "$1" callers)"
operators = "127.0.0.1:$(port "$1" operators)"

[shutdown]
drain_ms = 500
finish_ms = 5000

[bootstrap]
operator_token_digest = "$(cat "$dir/bootstrap.digest")"
TOML
  } > "$dir/$1-gateway.toml"
}

write_scheduler_settings() {
  {
    common_settings "$1"
    cat <<TOML
[listen]
inner = "127.0.0.1:$(port "$1" scheduler)"
metrics = "127.0.0.1:$(port "$1" scheduler-metrics)"
TOML
  } > "$dir/$1-scheduler.toml"
}

# Each failure domain has 4 workers of 8 accelerators in one rack, and 2 endpoints.
workers_per_domain=4
endpoints_per_domain=2

write_standin_settings() {
  local i vm
  {
    cat <<TOML
control = "127.0.0.1:$(port standin control)"

[log]
address = "127.0.0.1:$(port standin log)"
retention_records = 10000

[vm_list]
address = "127.0.0.1:$(port standin vms)"
lag_ms = 1000

TOML
    for vm in "${vms[@]}"; do
      cat <<TOML
[[vm_list.vms]]
id = "$vm"
failure_domain = "$(domain_of "$vm")"
address = "127.0.0.1:$(port "$vm" inner)"

TOML
    done
    for i in "${!domains[@]}"; do
      cat <<TOML
[[workers]]
id = "w-${domains[$i]}"
count = $workers_per_domain
failure_domain = "${domains[$i]}"
address = "127.0.0.1:$(($(port standin workers) + i * workers_per_domain))"
accelerators = 8
milli_cpu = 32000
memory_mb = 65536
usage_lag_ms = 1000
checkpoint_ms = 200

[[endpoints]]
id = "e-${domains[$i]}"
count = $endpoints_per_domain
failure_domain = "${domains[$i]}"
address = "127.0.0.1:$(($(port standin endpoints) + i * endpoints_per_domain))"
work_ms = 10

TOML
    done
  } > "$dir/standin.toml"
}

# join_commas joins its arguments with commas.
join_commas() {
  local IFS=,
  echo "$*"
}

document_workers() {
  local i n id items=()
  for i in "${!domains[@]}"; do
    for ((n = 1; n <= workers_per_domain; n++)); do
      id=w-${domains[$i]}-$n
      items+=("\"$id\":{\"id\":\"$id\",\"failure_domain\":\"${domains[$i]}\",\"rack\":\"rack-${domains[$i]}\",\
\"capacity\":{\"accelerators\":8,\"milli_cpu\":32000,\"memory_mb\":65536},\
\"address\":\"127.0.0.1:$(($(port standin workers) + i * workers_per_domain + n - 1))\"}")
    done
  done
  join_commas "${items[@]}"
}

document_endpoints() {
  local i n id items=()
  for i in "${!domains[@]}"; do
    for ((n = 1; n <= endpoints_per_domain; n++)); do
      id=e-${domains[$i]}-$n
      items+=("\"$id\":{\"id\":\"$id\",\"failure_domain\":\"${domains[$i]}\",\"slots\":8,\"max_connections\":64,\
\"address\":\"127.0.0.1:$(($(port standin endpoints) + i * endpoints_per_domain + n - 1))\"}")
    done
  done
  join_commas "${items[@]}"
}

document_domains() {
  local domain items=()
  for domain in "${domains[@]}"; do
    items+=("\"$domain\":{\"name\":\"$domain\",\"region\":\"north\"}")
  done
  join_commas "${items[@]}"
}

# policy WEIGHT prints the policy section of the document with the given fragmentation weight.
policy() {
  cat <<JSON
{"fragmentation_weight":$1,"reclaim_bound_ms":10000,"max_wait_ms":30000,"gateway_seats":${seats:-8},"quarantine_percent":25,
 "eject_percent":50,"standard_large_shape":{"members":4,"per_member":{"accelerators":8,"milli_cpu":8000,"memory_mb":16384},
 "adjacency":"rack"}}
JSON
}

write_document() {
  cat > "$dir/document.json" <<JSON
{"failure_domains":{$(document_domains)},
 "workers":{$(document_workers)},
 "accounts":{},
 "services":{
  "orders":{"name":"orders","timeout_ms":5000,"max_body_bytes":65536,"endpoints":{$(document_endpoints)}}},
 "operators":{"ana":{"name":"ana","token_digest":"$(cat "$dir/ana.digest")"}},
 "drains":{},
 "policy":$(policy 0.3)}
JSON
}

# write_patch BASE writes two patches against version BASE. stale.json conflicts once patch.json is accepted.
write_patch() {
  cat > "$dir/patch.json" <<JSON
{"id":"weigh-fragmentation","base":$1,"author":"ana","reason":"batch fittings stall when accelerators are scattered",
 "ops":[{"op":"set","path":"policy","value":$(policy 0.6)}]}
JSON
  cat > "$dir/stale.json" <<JSON
{"id":"weigh-completion","base":$1,"author":"ana","reason":"written at the same time",
 "ops":[{"op":"set","path":"policy","value":$(policy 0.1)}]}
JSON
}
