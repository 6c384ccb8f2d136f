#!/usr/bin/env bash
# Installs packages, builds, and demonstrates the main features on loopback. Nodes, upstreams, log and VM list run as
# separate processes. Shows a ticket, lookups, an order and its retry, a download whose upstream is killed, a failure
# domain that is taken out of use and back, a planned stop, and the burn report. Stops only processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
.ci/install
cmake -S . -B build -G Ninja >/dev/null
ninja -C build berylcrank standin_log standin_vm_list standin_upstream >/dev/null

work=$(mktemp -d)
pids=()
stop_all() {
    for it in "${pids[@]}"; do kill -TERM "$it" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

say() { printf '\n== %s\n' "$*"; }
# Starts a program and waits for its line "listening ...". Sets `line` and `pid`.
start() { # name, program, arguments ...
    build/"$2" "${@:3}" >"$work/$1.out" 2>"$work/$1.err" &
    pid=$!
    pids+=("$pid")
    until line=$(grep -m1 '^listening ' "$work/$1.out"); do
        kill -0 "$pid" || { cat "$work/$1.err"; exit 1; }
        read -rt 0.05 <> <(:) || true
    done
}
field() { sed -n "s/.* $1=\([^ ]*\).*/\1/p" <<<"$line"; }
get() { curl -sS --noproxy '*' "$@"; }

say "log service and VM list (stand-ins)"
start log standin_log --port 0; log=$(field http)
start vms standin_vm_list --port 0; vms=$(field http)
echo "log $log, VM list $vms"

say "upstreams: inventario (lookups), pedidos (orders), planos (downloads), in three failure domains"
domains=(bog-norte bog-centro bog-sur)
upstreams=""
declare -A upstream_address upstream_pid
for service in inventario pedidos planos; do
    for n in 1 2 3; do
        start "$service-$n" standin_upstream --port 0 --name "$service-$n" --slots 4
        upstream_address[$service-$n]=$(field http)
        upstream_pid[$service-$n]=$pid
        upstreams+="  - {name: $service-$n, service: $service, failure_domain: ${domains[n - 1]}, address: \"$(field http)\"}"$'\n'
    done
done
echo "${#upstream_address[@]} upstreams"

say "four nodes"
list=""
for n in 1 2 3 4; do
    domain=${domains[(n - 1) % 3]}
    cat >"$work/vm-$n.yaml" <<YAML
vm: vm-$n
region: bog
failure_domain: $domain
http_address: 127.0.0.1:0
rpc_address: 127.0.0.1:0
platform: {log_address: "$log", vm_list_address: "$vms"}
addresses: {keep_ms: 1000}
YAML
    start "vm-$n" berylcrank node --settings "$work/vm-$n.yaml"
    node_address[n]=$(field http)
    node_pid[n]=$pid
    list+="{\"vm\":\"vm-$n\",\"failure_domain\":\"$domain\",\"region\":\"bog\",\"http_address\":\"$(field http)\",\"rpc_address\":\"$(field rpc)\",\"leaving\":false},"
done
get -X POST "http://$vms/control" -d "{\"vms\":[${list%,}]}" >/dev/null
nodes=$(IFS=,; echo "${node_address[*]}")
echo "$nodes"

say "ticket 1 goes to the log; exit code 0 once it is in force on every node"
cat >"$work/ticket-1.yaml" <<YAML
number: 1
author: demo
note: first configuration
failure_domains:
  - {name: bog-norte, region: bog}
  - {name: bog-centro, region: bog}
  - {name: bog-sur, region: bog}
services:
  - {name: inventario, request_class: lookup, cold_concurrency: 2}
  - {name: pedidos, request_class: order, cold_concurrency: 2}
  - {name: planos, request_class: download, cold_concurrency: 2}
upstreams:
$upstreams
YAML
build/berylcrank check --ticket "$work/ticket-1.yaml"
build/berylcrank publish --log "$log" --ticket "$work/ticket-1.yaml" --nodes "$nodes"
for n in 1 2 3 4; do
    until [ "$(get -o /dev/null -w '%{http_code}' "http://${node_address[n]}/ready")" = 200 ]; do :; done
done

node=${node_address[1]}
say "addresses for a caller"
get "http://$node/address?failure_domain=bog-norte"

say "20 lookups"
for n in $(seq 20); do
    get -o /dev/null -w '%{http_code} ' "http://${node_address[n % 4 + 1]}/s/inventario/duct/$n"
done
echo

say "an order, and its resend through another node: it runs once, both get the same answer"
id=$(get "http://$node/address" | sed 's/.*"id_prefix":"\([^"]*\)".*/\1/').1
for it in "$node" "${node_address[2]}"; do
    get -D - -X POST "http://$it/s/pedidos/order" -H "Idempotency-Key: $id" -d 'duct 7, two fibres' |
        grep -aE '^HTTP|^Berylcrank-Verdict|duct'
done
for n in 1 2 3; do
    echo "pedidos-$n ran it $(get "http://${upstream_address[pedidos-$n]}/executions?key=$id")"
done

say "an order without an id is refused as not run, with a prefix to use"
get -D - -X POST "http://$node/s/pedidos/order" -d 'x' | grep -aE '^HTTP|^Berylcrank'

say "a 32 MiB download whose upstream is killed in the middle"
size=$((32 << 20))
get --limit-rate 16M "http://$node/s/planos/blob/$size/7" -o "$work/download" &
download=$!
victim=""
until [ -n "$victim" ]; do
    for n in 1 2 3; do
        if get "http://${upstream_address[planos-$n]}/executions?brief" | grep -q '"received":[1-9]'; then victim=planos-$n; fi
    done
done
until [ "$(stat -c %s "$work/download" 2>/dev/null || echo 0)" -gt 1000000 ]; do :; done
kill -KILL "${upstream_pid[$victim]}"
wait "$download"
other=planos-1; [ "$victim" = planos-1 ] && other=planos-2
get "http://${upstream_address[$other]}/blob/$size/7" | cmp - "$work/download" && echo "$victim was killed; the download is complete and equal"

say "failure domain bog-centro out and back"
for step in "2 false" "3 true"; do
    read -r number in_use <<<"$step"
    printf 'number: %s\nfailure_domains:\n  - {name: bog-centro, region: bog, in_use: %s}\n' "$number" "$in_use" >"$work/ticket-$number.yaml"
    build/berylcrank publish --log "$log" --ticket "$work/ticket-$number.yaml" --nodes "$nodes"
    for n in $(seq 10); do get -o /dev/null -w '%{http_code} ' "http://${node_address[n % 4 + 1]}/s/inventario/duct/$n"; done
    echo
done

say "a planned stop of node 4: exit code 0"
kill -TERM "${node_pid[4]}"
wait "${node_pid[4]}" && echo "exit code $?"

say "tickets in force"
build/berylcrank status --nodes "${nodes%,*}"

say "burn report"
build/berylcrank burn --nodes "${nodes%,*}"
say "done"
