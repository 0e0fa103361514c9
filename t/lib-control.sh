# Sourced after t/test-lib.sh and t/fleet-lib.sh by the tests of
# configuration and membership.  Their processes are control-node, which
# carries these two components and nothing else.

# Processes started inside a case belong to its subshell; their ids are
# known by the files only.
control_stop_all () {
	cat ./*.pid 2>/dev/null | while read -r control_pid; do
		kill -CONT "$control_pid" 2>/dev/null
		kill -KILL "$control_pid" 2>/dev/null
	done
	stop_all
}

trap 'control_stop_all' EXIT

# control_start NAME ROLE DATA_CENTER ADDRESS
control_start () {
	if test "$2" = agent; then
		agent_settings "$1" "$3" "$4" plain >"$1.json"
	else
		entry_settings "$1" "$3" "$4" >"$1.json"
	fi
	start "$1" control-node "$2" --settings "$1.json"
}

# control_add NAME ROLE DATA_CENTER ADDRESS: the same, and listed.
control_add () {
	if test "$2" = agent; then
		instance_add "$1" agent "$3" "$4" "$1"
	else
		instance_add "$1" entry "$3" "$4"
	fi
	control_start "$@"
}

# control_kill NAME: kills it at once.
control_kill () {
	kill -KILL "$(cat "$1.pid")"
}

# document REVISION [CONCURRENT]: a small valid document.
document () {
	printf '{"revision":%d,"fleet":{"budget":{"concurrent":%d}},"accounts":[{"account":"adubo","services":[{"name":"billing","upstreams":["*"],"operations":[{"name":"charge"}]}]}]}' \
		"$1" "${2:-100}"
}

publish () {
	document "$@" >document.json
	fleet_publish_config document.json
}

status () {
	curl -s -m 2 "http://$1:7102/status"
}

# revision ADDRESS: the revision in force there, 0 for none.
revision () {
	status "$1" | jq .config.revision
}

# revision_is N ADDRESS...
revision_is () {
	is_wanted=$1
	shift
	for is_address; do
		test "$(revision "$is_address")" = "$is_wanted" || return 1
	done
}

# sees ADDRESS ID: the state of ID as seen at ADDRESS.
sees () {
	status "$1" | jq -r --arg id "$2" \
		'.members.instances[] | select(.id == $id) | .state'
}

sees_is () {
	test "$(sees "$1" "$2")" = "$3"
}

# sees_all STATE ID ADDRESS...
sees_all () {
	seen_state=$1
	seen_id=$2
	shift 2
	for seen_at; do
		sees_is "$seen_at" "$seen_id" "$seen_state" || return 1
	done
}

ready () {
	test "$(curl -s -o /dev/null -w '%{http_code}' \
		"http://$1:7102/ready")" = 200
}

fault () {
	curl -s -f -X POST -d "$1" $PLATFORM_URL/standin/fault >/dev/null
}

cut_off () {
	cut_address=$1
	shift
	curl -s -f -X POST -d "$(printf '%s\n' "$@" | jq -R . | jq -cs \
		'map(select(. != ""))')" \
		"http://$cut_address:7102/cut" >/dev/null
}

# never_lower ADDRESS...: the changes that each process lists rise.
never_lower () {
	for lower_address; do
		status "$lower_address" | jq -e '.config.changes |
			map(.revision) | . == (sort | unique)' >/dev/null ||
			return 1
	done
}
