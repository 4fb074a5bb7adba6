#!/bin/sh
# Starts a small deployment on the loopback interface, sends it requests, prints
# the results and stops all processes it started. The logs and traces are kept in
# a temporary directory whose path is printed.
set -eu
cd "$(dirname "$0")/.."

work=$(mktemp -d "${TMPDIR:-/tmp}/pomelocross-demo.XXXXXX")
pids=""
stop_all() {
	for pid in $pids; do kill "$pid" 2>/dev/null || true; done
	for pid in $pids; do wait "$pid" 2>/dev/null || true; done
	pids=""
}
trap stop_all EXIT INT TERM

start() { # usage: start NAME COMMAND...
	name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	pids="$! $pids"
}

until_ok() { # usage: until_ok COMMAND...; retries every 0.1 s, for at least 20 s
	tries=0
	until "$@" >/dev/null 2>&1; do
		tries=$((tries + 1))
		if [ "$tries" -gt 200 ]; then
			echo "command still fails after 200 retries: $*; see the logs in $work" >&2
			exit 1
		fi
		sleep 0.1
	done
}

standin=bin/pomelocross-standin
platform=127.0.0.1:7400
cat >"$work/members.json" <<JSON
[
 {"name":"lm-a","role":"upstream","service":"lm-pool","domain":"mty-a","region":"mx-norte","address":"127.0.0.1:7411","cost":"dear"},
 {"name":"lm-b","role":"upstream","service":"lm-pool","domain":"mty-b","region":"mx-norte","address":"127.0.0.1:7412","cost":"cheap"},
 {"name":"refill-a","role":"upstream","service":"refill-check","domain":"mty-a","region":"mx-norte","address":"127.0.0.1:7413","cost":"dear"},
 {"name":"refill-b","role":"upstream","service":"refill-check","domain":"mty-b","region":"mx-norte","address":"127.0.0.1:7414","cost":"dear"},
 {"name":"entry-1","role":"entry","domain":"mty-a","region":"mx-norte","address":"127.0.0.1:7421","peer":"127.0.0.1:7441"},
 {"name":"entry-2","role":"entry","domain":"mty-a","region":"mx-norte","address":"127.0.0.1:7422","peer":"127.0.0.1:7442"},
 {"name":"entry-3","role":"entry","domain":"mty-b","region":"mx-norte","address":"127.0.0.1:7423","peer":"127.0.0.1:7443"}
]
JSON

echo "== starting a platform, two engines, two services and three instances; logs are in $work"
start platform $standin platform --listen $platform --members "$work/members.json"
start lm-a $standin engine --listen 127.0.0.1:7411 --name lm-a --fences
start lm-b $standin engine --listen 127.0.0.1:7412 --name lm-b --fences
start refill-a $standin service --listen 127.0.0.1:7413 --name refill-a
start refill-b $standin service --listen 127.0.0.1:7414 --name refill-b
export POMELOCROSS_SECRET="a secret for the demo only" POMELOCROSS_PLATFORM=$platform POMELOCROSS_DEPLOYMENT=botiquin
export POMELOCROSS_ADMIN=127.0.0.1:7431 POMELOCROSS_REGION=mx-norte POMELOCROSS_USAGE_WINDOW=2s POMELOCROSS_USAGE_GRACE=1s
for n in 1 2 3; do
	domain=mty-a
	[ $n = 3 ] && domain=mty-b
	start entry-$n bin/pomelocrossd --name entry-$n --domain $domain --listen 127.0.0.1:742$n \
		--admin-listen 127.0.0.1:743$n --peer-listen 127.0.0.1:744$n --trace-file "$work/entry-$n.traces"
done

cli=bin/pomelocross
echo "== applying examples/botiquin"
until_ok $cli apply -f examples/botiquin
$cli apply --wait -f examples/botiquin
$cli status

echo "== sending a streamed completion, a plain service request and a request without a key"
$standin call --address 127.0.0.1:7421 --key pmx_fabricas_demofabricas --path /v1/completions \
	--body '{"prompt":"two rolls of gauze for depot 7","max_tokens":6,"stream":true}'
$standin call --address 127.0.0.1:7423 --key pmx_desk_demodesk --method GET --path /kits/7
$standin call --address 127.0.0.1:7422 --path /v1/completions --body '{"prompt":"no key"}'

echo "== running a trainer for three steps, using all instances"
$standin trainer --addresses 127.0.0.1:7421,127.0.0.1:7422,127.0.0.1:7423 --key pmx_restockplans_demorestockplans \
	--run plans --model restock --steps 3

echo "== showing the usage reported to the platform"
until_ok sh -c "$standin call --address $platform --method GET --path /record | grep -q restock-plans"
$standin call --address $platform --method GET --path /record

$cli status
echo "== stopping all processes"
stop_all
spans=$(cat "$work"/*.traces | grep -c '"Name"' || true)
echo "spans written: $spans; see $work/entry-1.traces and $work/entry-1.log"
