#!/bin/sh
# Usage: t/fuzz.sh [RUNS]
# Runs libFuzzer with a fixed seed on each parser of untrusted input.  Exits
# with an error on the first crash and leaves the input in build/fuzz.

cd "$(dirname "$0")/.." || exit 1
runs=${1:-20000}
packages="apr-1 apr-util-1 libmicrohttpd libcurl libtirpc popt jansson
libxxhash zlib libcrypto"
# In the order of FUZZ_TARGET in fuzz-input.c, fuzz-calls.c, fuzz-platform.c,
# fuzz-http.c.
input_names="document list settings account manifest xdr delta"
call_names="ticket stream refusal"
platform_names="operator servers report origin events"
http_names="head chunks"
flags="-std=gnu11 -g -O1 -fsanitize=fuzzer-no-link,address,undefined -I.
-Wno-deprecated-declarations $(pkg-config --cflags $packages)"
rm -rf build/fuzz/corpus # runs must not depend on earlier ones
mkdir -p build/fuzz

sources=$(ls base/*.c net/*.c config/*.c member/*.c weights/manifest.c \
	calls/ticket.c calls/sse.c calls/problem.c forward/events.c \
	platform/document.c platform/upstreams.c platform/models.c \
	platform/json.c platform/engine.c)
for source in $sources; do
	echo "$source"
done | xargs -P 4 -I{} sh -c 'out=build/fuzz/$(echo "$1" | tr / _).o
	test "$out" -nt "$1" || clang '"$(echo $flags)"' -w -c -o "$out" "$1"' \
	sh {} || exit 1
objects=$(for source in $sources; do
	echo "build/fuzz/$(echo "$source" | tr / _).o"
done)

seed_corpus () {
	case "$1" in
	document)
		echo '{"revision":1,"accounts":[{"account":"a","models":[{"name":"m","manifest":"'$(printf %064d 1)'","upstreams":["m-*"]}],"services":[{"name":"s","upstreams":["*"],"operations":[{"name":"o"}]}]}]}' ;;
	account)
		echo '{"account":"a","keys":["'$(printf %064d 1)'"],"limits":{"concurrent":1}}' ;;
	list)
		echo '{"version":1,"instances":[{"id":"a","role":"agent","data_center":"d","address":"127.0.0.1","state":"live"}]}' ;;
	settings)
		echo '{"instance":"a","data_center":"d","address":"127.0.0.1","platform_url":"http://127.0.0.1:7001","key":"0123456789abcdef","upstream":{"url":"http://127.0.0.1:7200"}}' ;;
	ticket)
		printf 't1:a:0000000000000001:64:0:adubo:billing:n%032d' 1 ;;
	stream)
		printf 'data: {"id":"r1","index":0,"token":"a"}\n\n' ;;
	refusal)
		echo '{"status":503,"outcome":"not-run","again":"same","scope":"key","reason":"r","step":"s","detail":"d"}' ;;
	operator)
		echo '{"op/config":{"Version":3,"Routes":[{"Name":"r","Host":"h","Prefix":"/a/","Kind":"streaming","TimeoutMs":6000,"SloMs":400,"Service":"s","Attempts":2,"Resumable":true}],"Services":[{"Name":"s","Slots":16,"Engine":{"step_ms":7.4,"usual":{"prompt":9,"answer":7}}}],"Tenants":[{"Name":"t","ApiKeys":["k"]}],"Limits":{"MaxBodyBytes":9}},"op/version/m":{"Model":"m","Version":2}}' ;;
	servers)
		echo '{"servers/i-1":{"Service":"s","Addr":"10.0.0.1:80","Zone":"z","State":"ready","Slots":16,"born":5,"Models":[{"Name":"m","Version":1}],"layers":[{"From":0,"Target":16,"Version":1}]}}' ;;
	report)
		echo '{"Models":[{"Name":"m","Version":1}],"layers":[{"From":0,"Target":16,"Version":1}],"Busy":true,"Queued":1,"Active":2,"pace":1.5,"born":5}' ;;
	origin)
		echo '{"Model":"m","Version":2,"ChunkBytes":32768,"Digests":["'$(printf %064d 1)'"]}' ;;
	events)
		printf 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n' ;;
	head)
		printf 'Host: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\nX-One:\r\n\r\n' ;;
	chunks)
		printf '5;a=b\r\nabcde\r\n1\r\nf\r\n0\r\nX-One: 1\r\n\r\n' ;;
	manifest)
		echo '{"model":"m","version":"1","source":"m.bin","size":10,"chunk_size":4096,"chunks":["'$(printf %064d 1)'"]}' ;;
	esac
}

# Names that end in ":" select the source file of the targets that follow.
for name in input: $input_names calls: $call_names \
	platform: $platform_names http: $http_names; do
	case "$name" in
	*:)
		target=0
		file=t/helper/fuzz-${name%:}.c
		continue ;;
	esac
	target=$((target + 1))
	mkdir -p "build/fuzz/corpus/$name"
	seed_corpus "$name" >"build/fuzz/corpus/$name/seed"
	clang $flags -fsanitize=fuzzer,address,undefined \
		-DFUZZ_TARGET=$target -o "build/fuzz/$name" \
		$file $objects \
		$(pkg-config --libs $packages) -lm -lpthread || exit 1
	(cd build/fuzz && ./$name -seed=1 -runs="$runs" -max_len=4096 \
		-verbosity=0 -timeout=10 -rss_limit_mb=1024 \
		-artifact_prefix="crash-$name-" "corpus/$name") \
		>"build/fuzz/$name.log" 2>&1 || {
		tail -30 "build/fuzz/$name.log"
		echo "fuzz: $name failed"
		exit 1
	}
	echo "fuzz: $name: $runs runs without a crash"
done
