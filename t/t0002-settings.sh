#!/bin/sh

test_description='settings files: all errors listed, one per line, exit code 2'

. "$(dirname "$0")/test-lib.sh"

cat >good.json <<-EOF
{"instance":"e1","data_center":"ne","address":"$TEST_NET.1",
 "platform_url":"http://$TEST_NET.9:7001","key":"0123456789abcdef"}
EOF

test_expect_success 'a valid file is accepted' '
	limpet-entry --settings good.json --check-settings
'

test_expect_success 'every error is listed with path, range and hint' '
	cat >bad.json <<-EOF &&
	{"instance":"e 1","data_centre":"ne","address":"localhost",
	 "platform_url":"ftp://x:1","key":"short",
	 "links":{"transfer_share":7},"ports":{"http":"x"},
	 "upstream":{"url":"http://127.0.0.1:1"}}
	EOF
	cat >expect <<-EOF &&
	bad.json: instance: expected a name of 1 to 63 letters, digits, ${SQ}-${SQ}, ${SQ}_${SQ} or ${SQ}.${SQ}
	bad.json: data_centre: unknown field; did you mean "data_center"?
	bad.json: key: expected 16 to 127 characters
	bad.json: links.transfer_share: 7 is out of range: expected 0.05 to 1
	bad.json: ports.http: expected a whole number
	bad.json: data_center: is required
	bad.json: address: "localhost" is not an IP number
	bad.json: platform_url: expected http://ADDRESS:PORT
	bad.json: upstream: belongs to an agent${SQ}s settings
	EOF
	status=0
	limpet-entry --settings bad.json --check-settings 2>actual || status=$?
	test $status = 2
	test_cmp expect actual
'

test_expect_success 'a JSON syntax error is reported with line and column' '
	echo "{\"instance\" 1}" >broken.json
	status=0
	limpet-agent --settings broken.json 2>actual || status=$?
	test $status = 2
	grep "^broken.json: broken.json: line 1, column" actual
'

test_expect_success 'a missing file and a wrong option exit with 2' '
	status=0
	limpet-agent --settings none.json 2>actual || status=$?
	test $status = 2
	grep "none.json: cannot be read" actual
	status=0
	limpet-agent --sttings x 2>actual || status=$?
	test $status = 2
'

test_expect_success 'a port in use is reported in one line' '
	sed "s/\"e1\"/\"e2\"/" good.json >e2.json
	start e1 limpet-entry --settings good.json
	wait_until 5 curl -s -o /dev/null http://$TEST_NET.1:7102/status
	status=0
	limpet-entry --settings e2.json 2>actual || status=$?
	stop_all
	test $status = 1
	grep "^limpet-entry: http-listen: $TEST_NET.1: cannot listen on port" actual
'

test_expect_success 'SIGHUP reloads the settings; invalid settings change nothing' '
	cp good.json live.json
	start live limpet-entry --settings live.json
	wait_until 10 curl -s -o status http://$TEST_NET.1:7102/status
	echo "{}" >live.json
	kill -HUP $(cat live.pid)
	wait_until 10 grep "settings unchanged: instance: is required" live.out
	sed "s/^{/{\"log_debug\":true,/" good.json >live.json
	kill -HUP $(cat live.pid)
	wait_until 10 grep "settings read again, debug lines on" live.out
	stop_all
'

test_done
