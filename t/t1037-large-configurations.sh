#!/bin/sh

test_description='whatever the store accepts is in force on every process

Two entries and a store. Each configuration adds a route, drops a route and takes
a key away, and is large or odd in one way.'

. "$(dirname "$0")/test-lib.sh"

STORE=$TEST_NET.9:7001
VALUE_BYTES=1048576

put () {
	curl -sf -X PUT --data-binary @- "http://$STORE/test/$1" >/dev/null
}

# make_config VERSION PYTHON: writes a configuration to the file config. Version
# N has the route /added-N/ and the key key-N, beside /kept/ and its key; the code
# changes it as "c", and may use fill(LIST, MAKE) to add MAKE(0), MAKE(1), ...
# until the value is full.
cat >make-config.py <<EOC
import json, sys, textwrap

def route(name):
    return {"Name": name, "Host": "a.example", "Prefix": "/%s/" % name,
            "Kind": "idempotent", "TimeoutMs": 3000, "SloMs": 500,
            "Service": "web", "Attempts": 2}

def encode(o):
    return json.dumps(o, separators=(",", ":"))

def fill(elements, make):
    size, n = len(encode(c)), 0
    while size + len(encode(make(n))) + 1 <= $VALUE_BYTES:
        elements.append(make(n))
        size, n = size + len(encode(make(n))) + 1, n + 1

version = int(sys.argv[1])
c = {"Version": version,
     "Routes": [route("kept"), route("added-%d" % version)],
     "Services": [{"Name": "web"}],
     "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 100000},
     "Tenants": [{"Name": "acme", "ApiKeys": ["kept", "key-%d" % version]}]}
exec(textwrap.dedent(sys.argv[2]))
print(encode(c), end="")
EOC

make_config () {
	python3 make-config.py "$@" >config &&
	test $(wc -c <config) -le $VALUE_BYTES
}

# get_status ENTRY PATH KEY
get_status () {
	curl -s -m 5 -o /dev/null -w '%{http_code}' -H "Host: a.example" \
		-H "X-Limpetflow-Request-Id: r" -H "Authorization: Bearer $3" \
		"http://$TEST_NET.$1:8000$2"
}

# is_in_force VERSION BEFORE: on both entries, version VERSION is in force and
# no longer the version BEFORE.
is_in_force () {
	for entry in 1 2; do
		test "$(get_status $entry /added-$1/x key-$1)" = 200 &&
		test "$(get_status $entry /added-$2/x kept)" = 404 &&
		test "$(get_status $entry /kept/x key-$2)" = 401 &&
		test "$(get_status $entry /kept/x kept)" = 200 || return 1
	done
}

entry_settings () {
	cat <<-EOC
	{"instance":"e$1","data_center":"d1","address":"$TEST_NET.$1",
	 "ports":{"first":7700},"listen":{"callers":"$TEST_NET.$1:8000",
	 "ready":"$TEST_NET.$1:8001"},"platform":"store",
	 "platform_url":"http://$STORE","key":"0123456789abcdef",
	 "seeds":["$TEST_NET.1:1","$TEST_NET.2:1"],
	 "forward":{"stop_grace_s":8,"retry_ratio":0.2,"retry_window_s":10,
	  "retry_slack":100}}
	EOC
}

start store python3 "$TEST_DIR/standin/metadata_store.py" store $STORE
start up python3 "$TEST_DIR/standin/metadata_store.py" upstream \
	$TEST_NET.20:80 i-1
wait_until 10 curl -sf http://$STORE/test/calls
printf '{"Service":"web","Addr":"%s","Zone":"d1","Version":"v1","Slots":4,"State":"ready","ColdLeftMs":0,"Seq":1}' \
	"$TEST_NET.20:80" | put servers/i-1
make_config 1 "" && put op/config <config
for entry in 1 2; do
	entry_settings $entry >e$entry.json
	start e$entry limpet-entry --settings e$entry.json
done
wait_until 10 curl -sf http://$TEST_NET.1:8001/readyz
wait_until 10 curl -sf http://$TEST_NET.2:8001/readyz
wait_until 5 is_in_force 1 0

# Guards against a limit on the converted text below that of the platform's.
test_expect_success 'a value full of routes' '
	make_config 2 "
		fill(c[\"Routes\"], lambda n: dict(route(\"r\"), Prefix=\"/%d/\" % n))
	" &&
	put op/config <config &&
	wait_until 15 is_in_force 2 1
'

store_mode () {
	curl -sf -X POST --data "$1" http://$STORE/test/mode >/dev/null
}

# Guards against a watch that fails for as long as its answer is too long.
test_expect_success 'more changes than an answer holds' '
	store_mode "{\"down\":true}" &&
	for version in 3 4 5 6 7 8; do
		make_config $version "
			fill(c[\"Routes\"], lambda n: dict(route(\"r\"), Prefix=\"/%d/\" % n))
		" &&
		put op/config <config || exit 1
	done &&
	store_mode "{}" &&
	wait_until 15 is_in_force 8 2
'

# Guards against a limit on the length of a list.
test_expect_success 'a value full of tenants with short names and keys' '
	make_config 9 "
		fill(c[\"Tenants\"], lambda n: {\"Name\": \"t%d\" % n,
		     \"ApiKeys\": [\"k%d\" % n]})
	" &&
	put op/config <config &&
	wait_until 15 is_in_force 9 8 &&
	test "$(get_status 2 /kept/x k20000)" = 200
'

# Guards against a model that counts as declared twice.
test_expect_success 'two services with the same model' '
	make_config 10 "
		for name in (\"llm\", \"llm2\"):
		    c[\"Services\"].append({\"Name\": name, \"Engine\": {
		        \"Slots\": 12, \"Models\": [{\"Name\": \"m\"}]}})
		c[\"Routes\"].append(dict(route(\"draft\"), Kind=\"streaming\",
		    Backends=[{\"Service\": \"llm\", \"Weight\": 50},
		              {\"Service\": \"llm2\", \"Weight\": 50}]))
	" &&
	put op/config <config &&
	wait_until 15 is_in_force 10 9
'

# Guards against a configuration that is refused for one of its parts, and against
# a route that is left out, whose requests go to one with a shorter prefix.
test_expect_success 'a part that cannot be read costs itself only' '
	make_config 11 "
		c[\"Routes\"].append(dict(route(\"kept/odd\"), AllowedRegions=7))
		c[\"Routes\"][0][\"TimeoutMs\"] = 1e99
		c[\"Tenants\"].append({\"Name\": \"a b\", \"ApiKeys\": [\"odd\"]})
	" &&
	put op/config <config &&
	wait_until 15 is_in_force 11 10 &&
	test "$(get_status 2 /kept/x odd)" = 401 &&
	test "$(get_status 2 /kept/odd/x kept)" = 503 &&
	left_out=$(cat e?.out e?.err | grep -c "config-repair") &&
	test $left_out -ge 2
'

test_done
