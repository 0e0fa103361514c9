#!/bin/sh

test_description='limpetctl vet: a configuration checked before it is sent'

. "$(dirname "$0")/test-lib.sh"

cat >old.json <<EOF
{"Version":4,"Routes":[
 {"Name":"read","Host":"a.example","Prefix":"/read/","Kind":"idempotent","TimeoutMs":3000,"SloMs":500,"Service":"web","Attempts":2},
 {"Name":"gone","Host":"a.example","Prefix":"/gone/","Kind":"idempotent","TimeoutMs":3000,"Service":"web"}],
 "Services":[{"Name":"web"}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
 "Tenants":[{"Name":"acme","ApiKeys":["k1"]}]}
EOF
cat >new.json <<EOF
{"Version":5,"Routes":[
 {"Name":"read","Host":"a.example","Prefix":"/read/","Kind":"idempotent","TimeoutMs":1000,"SloMs":500,
  "Backends":[{"Service":"web","Weight":9},{"Service":"next","Weight":1}],"Attempts":2,"AllowedRegions":["north"]},
 {"Name":"more","Host":"a.example","Prefix":"/more/","Kind":"idempotent","TimeoutMs":3000,"SloMs":100,"Service":"web"}],
 "Services":[{"Name":"web"},{"Name":"next"}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":50000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
 "Tenants":[{"Name":"acme","ApiKeys":[]}]}
EOF
cat >odd.json <<EOF
{"Version":5,"Routes":[
 {"Name":"read","Host":"a.example","Prefix":"/read/","Kind":"idempotent","TimeoutMs":400,"SloMs":500,"Service":"web"},
 {"Name":"same","Host":"A.example","Prefix":"/read/","Kind":"idempotent","TimeoutMs":3000,"Service":"web"},
 {"Name":"bare","Host":"a.example","Prefix":"bare/","Kind":"idempotent","Service":"nowhere"},
 {"Name":"none","Host":"a.example","Prefix":"/none/","Kind":"streaming","Resumable":true,"Attempts":1,
  "Backends":[{"Service":"web","Weight":0}]},
 {"Name":"home","Host":"a.example","Prefix":"/home/","Kind":"idempotent","Service":"web","AllowedRegions":["south"]},
 {"Name":"lost","Host":"a.example","Prefix":"/lost/","Kind":"idempotent","Service":"web","AllowedRegions":"south"},
 {"Name":"bad"}],
 "Services":[{"Name":"web"}],
 "Tenants":[{"Name":"acme","ApiKeys":["k1"],"AllowedRegions":["north"]},
  {"Name":"twin","ApiKeys":["k2"]},{"Name":"mute","ApiKeys":[],"Priority":1}]}
EOF

# vet STATUS ARGUMENT...: its output in out.
vet () {
	vet_status=$1
	shift
	limpetctl vet "$@" >out 2>err
	test $? = $vet_status
}

test_expect_success 'a sound configuration has no findings' '
	vet 0 old.json &&
	test_cmp /dev/null out
'

test_expect_success 'what changes is told by name, from what to what' '
	vet 0 --in-force old.json new.json &&
	test_cmp "$TOP/t/expect/t0225/changes" out &&
	vet 0 --in-force old.json old.json &&
	echo "no change" >want &&
	test_cmp want out
'

test_expect_success 'entries that never match and limits that contradict each other' '
	vet 1 odd.json &&
	test_cmp "$TOP/t/expect/t0225/findings" out
'

test_expect_success 'what cannot be read is an error with its place' '
	printf "{\"Version\":5,\n\"Routes\":[}" >cut.json &&
	vet 2 cut.json && grep "line 2" out &&
	printf "{\"Version\":5,\"Routes\":[],\"Routes\":[]}" >twice.json &&
	vet 2 twice.json &&
	printf "[1]" >list.json && vet 2 list.json &&
	printf "{\"Version\":5,\"Limits\":{\"MaxBodyBytes\":1e300}}" >huge.json &&
	vet 2 huge.json && grep body_bytes out &&
	printf "\"\\377\"" >bytes.json && vet 2 bytes.json &&
	python3 -c "print(\"[\" * 100000)" >deep.json && vet 2 deep.json &&
	python3 -c "print(\" \" * 5000000 + \"{}\")" >large.json && vet 2 large.json &&
	vet 2 missing.json && vet 2 && vet 2 --unknown old.json
'

test_expect_success 'the result as JSON' '
	vet 1 --json --in-force old.json odd.json &&
	jq -e ".errors == [] and (.findings | length) > 5 and (.changes | length) > 0" out
'

test_expect_success '1,400 routes are read' '
	python3 -c "
import json
print(json.dumps({\"Version\": 6, \"Routes\": [{\"Name\": \"r%d\" % i, \"Host\": \"a.example\", \"Prefix\": \"/r%d/\" % i, \"Kind\": \"idempotent\", \"Service\": \"web\"} for i in range(1400)], \"Services\": [{\"Name\": \"web\"}]}))" >many.json &&
	vet 0 many.json &&
	vet 0 --in-force old.json many.json &&
	test $(grep -c "is new" out) = 1400
'

test_done
