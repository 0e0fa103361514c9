# Library for tests, benchmarks and the demo that run a fleet of real
# processes; sourced after t/test-lib.sh.  The platform listens on $TEST_NET.1
# and the store on $TEST_NET.2; the instances of data centre k (1, 2, ...) use
# the network $(fleet_net k).

FLEET_KEY=${FLEET_KEY:-test-key-of-the-fleet-0001}
fleet_second=$(echo "$TEST_NET" | cut -d. -f2)
fleet_third=$(echo "$TEST_NET" | cut -d. -f3)
PLATFORM=$TEST_NET.1
STORE=$TEST_NET.2
PLATFORM_URL=http://$PLATFORM:7001
STORE_URL=http://$STORE:7001
LINK_RATE=${LINK_RATE:-125000000}
CROSS_RATE=${CROSS_RATE:-50000000}
STORE_RATE=${STORE_RATE:-250000000}
ENGINE_OPTIONS=${ENGINE_OPTIONS:---fencing --slots 8 --token-ms 2}
ENTRIES=
AGENTS=

# fleet_net K: prints the network of data centre K (the first three bytes of
# an address).  The second byte moves by 60 per data centre and the third byte
# stays that of $TEST_NET, so that tests don't share networks.
fleet_net () {
	echo "127.$(((fleet_second + 60 * $1) % 250 + 1)).$fleet_third"
}

# fleet_platform_start: starts the configuration service and instance list.
fleet_platform_start () {
	start platform standin-platform --address $PLATFORM --port 7001
	wait_until 5 curl -s -o /dev/null $PLATFORM_URL/standin/counts
}

# fleet_store_start DIRECTORY: starts the weight store.
fleet_store_start () {
	start store standin-store --address $STORE --port 7001 \
		--directory "$1" --rate $STORE_RATE
	wait_until 5 curl -s -o /dev/null $STORE_URL/standin/counts
}

# instance_add ID ROLE DATA_CENTER ADDRESS [UPSTREAM]: adds an instance to the
# list that fleet_publish_instances sends to the platform.
instance_add () {
	printf '{"id":"%s","role":"%s","data_center":"%s","address":"%s","state":"live"%s}\n' \
		"$1" "$2" "$3" "$4" "${5:+,\"upstream\":\"$5\"}" >>instances.rows
}

fleet_publish_instances () {
	jq -cs . instances.rows >instances.json
	curl -s -f -X PUT --data-binary @instances.json \
		$PLATFORM_URL/standin/instances >/dev/null
}

# fleet_publish_config FILE: makes FILE the newest configuration document.
fleet_publish_config () {
	curl -s -f -X PUT --data-binary "@$1" $PLATFORM_URL/standin/config \
		>/dev/null
}

# entry_settings NAME DATA_CENTER ADDRESS: prints the settings of an entry.
entry_settings () {
	cat <<-EOF
	{"instance":"$1","data_center":"$2","address":"$3",
	 "platform_url":"$PLATFORM_URL","key":"$FLEET_KEY",
	 "seeds":[${FLEET_SEEDS:-}],
	 "fault_injection":true}
	EOF
}

# agent_settings NAME DATA_CENTER ADDRESS KIND: prints the settings of an
# agent; its upstream listens on the agent's address, port 7200.
agent_settings () {
	cat <<-EOF
	{"instance":"$1","data_center":"$2","address":"$3",
	 "platform_url":"$PLATFORM_URL","store_url":"$STORE_URL",
	 "key":"$FLEET_KEY","seeds":[${FLEET_SEEDS:-}],
	 "upstream":{"url":"http://$3:7200","name":"$1","kind":"$4",
	  "checks_fencing":${FLEET_FENCING:-true}},
	 "links":{"machine_rate":$LINK_RATE,"cross_rate":$CROSS_RATE},
	 "worker_threads":${FLEET_THREADS:-4},
	 "fault_injection":true}
	EOF
}

# entry_start NAME DATA_CENTER ADDRESS: starts and lists an entry.
entry_start () {
	entry_settings "$1" "$2" "$3" >"$1.json"
	instance_add "$1" entry "$2" "$3"
	start "$1" limpet-entry --settings "$1.json"
	ENTRIES="$ENTRIES $3"
}

# agent_start NAME DATA_CENTER ADDRESS [KIND]: starts and lists an agent.
agent_start () {
	agent_settings "$1" "$2" "$3" "${4:-model}" >"$1.json"
	instance_add "$1" agent "$2" "$3" "$1"
	start "$1" limpet-agent --settings "$1.json"
	AGENTS="$AGENTS $3"
}

# engines_start NAME ADDRESS...: starts one process with an engine on each
# address.
engines_start () {
	engines_name=$1
	shift
	engines_args=
	for engines_address; do
		engines_args="$engines_args --address $engines_address"
	done
	start "$engines_name" standin-engine --port 7200 $ENGINE_OPTIONS \
		$engines_args
}

# plain_start NAME ADDRESS: starts a plain service.
plain_start () {
	start "$1" standin-plain --address "$2" --port 7200
}

# fleet_ready SECONDS ADDRESS...: waits until each instance is ready.
fleet_ready () {
	ready_seconds=$1
	shift
	for ready_address; do
		wait_until "$ready_seconds" curl -s -f -o /dev/null \
			http://$ready_address:7102/ready || {
			echo "$ready_address is not ready:" >&2
			curl -s http://$ready_address:7102/ready >&2
			return 1
		}
	done
}

# model_make FILE BYTES SEED: creates a file of pseudo-random bytes that depend
# on the seed only.
model_make () {
	openssl enc -aes-128-ctr -nosalt -K "$(printf %032x "$3")" \
		-iv 00000000000000000000000000000000 </dev/zero 2>/dev/null |
		head -c "$2" >"$1"
}

# model_publish STORE_DIRECTORY MODEL VERSION FILE [CHUNK_SIZE]: adds a file
# and its manifest to the store and prints the digest of the manifest.
model_publish () {
	mkdir -p "$1/weights" "$1/manifests"
	cp "$4" "$1/weights/$2-$3.bin"
	(cd "$1/weights" && limpetctl manifest --model "$2" --version "$3" \
		--chunk-size "${5:-262144}" "$2-$3.bin") >"$1/manifest.tmp" ||
		return 1
	model_digest=$(sha256sum <"$1/manifest.tmp" | cut -d' ' -f1)
	mv "$1/manifest.tmp" "$1/manifests/$model_digest"
	echo "$model_digest"
}

# key_digest KEY: prints the digest of a bearer key for an account file.
key_digest () {
	printf %s "$1" | sha256sum | cut -d' ' -f1
}

# serving_count MODEL VERSION ADDRESS...: prints the number of agents that
# serve a version.
serving_count () {
	serving_model=$1
	serving_version=$2
	shift 2
	for serving_address; do
		curl -s -m 2 http://$serving_address:7102/status
	done | jq -s --arg m "$serving_model" --arg v "$serving_version" \
		'[.[] | .weights.models[]? | select(.model == $m and
		.version == $v and .state == "serving")] | length'
}

# serving_all COUNT MODEL VERSION ADDRESS...: succeeds if exactly COUNT agents
# serve a version.
serving_all () {
	serving_expected=$1
	shift
	test "$(serving_count "$@")" = "$serving_expected"
}

# fleet_signal NAME SIGNAL: sends a signal to a process started with "start".
fleet_signal () {
	kill -"$2" "$(cat "$1.pid")"
}

# fleet_has_exited NAME: succeeds if a process has exited, including a zombie.
fleet_has_exited () {
	! grep -q '^State:[[:space:]]*[^Z]' "/proc/$(cat "$1.pid")/status" \
		2>/dev/null
}

# fleet_restart NAME PROGRAM SIGNAL: stops a process with a signal, waits for
# its exit and starts it again.
fleet_restart () {
	fleet_signal "$1" "$3" &&
	wait_until 30 fleet_has_exited "$1" &&
	start "$1" "$2" --settings "$1.json"
}

# fleet_pause SECONDS NAME...: suspends processes with SIGSTOP and resumes them.
fleet_pause () {
	pause_seconds=$1
	shift
	for pause_name; do
		fleet_signal "$pause_name" STOP
	done
	sleep "$pause_seconds"
	for pause_name; do
		fleet_signal "$pause_name" CONT
	done
}

# fleet_cut ADDRESS [PREFIX...]: partitions the process at ADDRESS from all
# addresses that start with a prefix; without a prefix, ends the partition.
fleet_cut () {
	cut_at=$1
	shift
	jq -cn '$ARGS.positional' --args "$@" |
		curl -s -f -o /dev/null -d @- "http://$cut_at:7102/cut"
}

# fleet_fault URL JSON: sets the fault of a stand-in.
fleet_fault () {
	curl -s -f -o /dev/null -X POST -d "$2" "$1/standin/fault"
}
