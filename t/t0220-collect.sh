#!/bin/sh

test_description='limpetctl check and collect'

. "$(dirname "$0")/test-lib.sh"

DIGEST=$(printf %064d 1)
OTHER=$(printf %064d 2)

mkdir good bad
cat >good/fleet.json <<EOF
{"fleet":{"budget":{"concurrent":100},"fencing":["m-*"]}}
EOF
cat >good/adubo.json <<EOF
{"account":"adubo","keys":["$DIGEST"],"models":[
 {"name":"quotes","manifest":"$DIGEST","upstreams":["m-*"]}]}
EOF
cat >good/sigyeru.json <<EOF
{"account":"sigyeru","services":[{"name":"register","upstreams":["p-*"],
 "operations":[{"name":"reserve"},{"name":"check","repeatable":true}]}]}
EOF
cat >bad/cut.json <<EOF
{"account":
EOF
cat >bad/fleet.json <<EOF
{"fleet":{"budget":{"concurrent":100}}}
EOF
cat >bad/one.json <<EOF
{"account":"one","keys":["my-secret"],"limit":{},"models":[
 {"name":"m 1","manifest":"abc","upstreams":[],"origin_copies":9}]}
EOF
cat >bad/other.json <<EOF
{"acount":"other"}
EOF
cat >bad/three.json <<EOF
{"account":"three","models":[{"name":"m2","manifest":"$DIGEST",
 "upstreams":["*"]}],"priority_min":10}
EOF
cat >bad/two.json <<EOF
{"account":"two","limits":{"concurrent":1000},"models":[
 {"name":"m2","manifest":"$DIGEST","upstreams":["*"],"base":"m3"}]}
EOF

test_expect_success 'check lists every error with file, path and a hint' '
	! limpetctl check bad/*.json >out 2>errors &&
	test_cmp "$TOP/t/expect/t0220/errors" errors &&
	limpetctl check good/*.json >out &&
	echo "3 files, no errors" >want &&
	test_cmp want out
'

test_expect_success 'collect rejects the same files and prints no document' '
	! limpetctl collect bad >out 2>errors &&
	test ! -s out &&
	grep -q "one.json: limit: unknown field" errors
'

test_expect_success 'collect output does not depend on file names and folders' '
	limpetctl collect --revision 7 good >one &&
	test_cmp "$TOP/t/expect/t0220/document" one &&
	mkdir -p moved/deep &&
	cp good/adubo.json moved/zz.json &&
	cp good/sigyeru.json moved/deep/aa.json &&
	cp good/fleet.json moved/deep/mm.json &&
	limpetctl collect --revision 7 moved >two &&
	cmp one two
'

test_expect_success '--diff lists what changes and who is affected' '
	cp -r good new &&
	rm new/sigyeru.json &&
	echo "{\"account\":\"adubo\",\"keys\":[\"$DIGEST\"],\"share\":3,
		\"models\":[{\"name\":\"quotes\",\"manifest\":\"$OTHER\",
		\"upstreams\":[\"m-*\",\"n-1\"]}]}" >new/adubo.json &&
	limpetctl collect --revision 8 --diff one new >out &&
	test_cmp "$TOP/t/expect/t0220/diff" out &&
	limpetctl collect --revision 8 --diff one good >out &&
	echo "nothing changes" >want &&
	test_cmp want out
'

test_expect_success '1000 files are read within 1 s, the size limit is enforced' '
	mkdir big &&
	for i in $(seq 1000); do
		echo "{\"account\":\"a$i\",\"models\":[{\"name\":\"m$i\",
			\"manifest\":\"$DIGEST\",\"upstreams\":[\"u-$i\"]}]}" \
			>big/$i.json
	done &&
	start=$(date +%s%N) &&
	limpetctl collect big >document &&
	test $((($(date +%s%N) - start) / 1000000)) -lt 1000 &&
	test "$(jq ".accounts | length" document)" = 1000 &&
	for i in $(seq 1000); do
		echo "{\"account\":\"a$i\",\"models\":[{\"name\":\"m$i\",
			\"manifest\":\"$DIGEST\",
			\"upstreams\":[\"$(printf %01000d $i)\"]}]}" \
			>big/$i.json
	done &&
	! limpetctl collect big >document 2>errors &&
	test ! -s document &&
	grep -q "above the platform.s cap of 1048576" errors
'

test_done
