#!/bin/sh

test_description='account limits over several entries, in simulated time

Several limiters run one script of events (t/helper/test-limits.c).  The bounds
are the documented targets: each account is admitted within 5% of its due rate,
which a naive limiter with all arrivals computes; the p99 latency of a small
account is at most 1.2 times that without a large one; goodput in overload is
at least 95%.'

. "$(dirname "$0")/test-lib.sh"

# fleet_script ENTRIES SEED ACCOUNTS: two accounts offer 10 times their share.
fleet_script () {
	echo "entries $1 $2"
	echo "delay 5 5"
	echo "fleet $((40 * $3)) 0 0.1"
	for i in $(seq $3); do
		echo "account a$i 1 0 0 0.1"
	done
	for i in $(seq $3); do
		case $i in
		1|2) echo "offer a$i 1 $1 400 0 20 0" ;;
		*) echo "offer a$i 1 $1 $((10 + i * 7 % 25)) 0 20 0" ;;
		esac
	done
}

# admitted_near_due FILE: each account is admitted within 5% of the naive
# limiter's rate.
admitted_near_due () {
	awk '$3 == "offered" && $2 != "total" {
		error = $8 > 0 ? ($6 - $8) / $8 : 0
		if (error < 0) error = -error
		if (error > worst) worst = error
		lines++
	}
	END { print "worst error", worst; exit !(lines && worst <= 0.05) }' $1
}

# slices_within BOUND FILE: no sum of slices exceeds BOUND times the limit.
slices_within () {
	awk -v bound=$1 '$2 == "slices" { n++; if ($3 > bound + 0.0001) bad++ }
		END { exit !(n && !bad) }' $2
}

test_expect_success 'unit suite' 'test-limit-units'

test_expect_success 'decisions on a short script match the expected output exactly' '
	cat >script <<-\END &&
	entries 3 7
	delay 5 0
	skew 2 3600
	skew 3 -900
	account a 1 10 2 0.1
	account b 2 0 0 0.1
	pool 3
	until 3
	offer a 1 3 30 0 300 0
	offer b 1 1 10 0 300 500
	trace 1
	until 4.5
	trace 0
	report
	END
	test-limits <script >actual &&
	test_cmp "$TEST_DIR/t0700/decisions" actual
'

for seed in 1 2 3; do
	test_expect_success "rates with 8 entries, after one stops and restarts (seed $seed)" '
		{ fleet_script 8 $seed 10 &&
		  printf "%s\n" "until 5" clear "until 15" report "die 3" \
			"until 18" clear "until 28" report "start 3" \
			"until 31" clear "until 41" report; } >script &&
		test-limits <script >actual &&
		admitted_near_due actual
	'
done

test_expect_success 'slices never exceed the limit with delayed messages' '
	for seed in $(seq 20); do
		cat >script <<-END &&
		entries 8 $seed
		delay 1 250
		account a 1 200 0 0.1
		account b 1 100 0 0.1
		until 5
		slices
		clear
		offer a 1 8 2000 0 20 0
		offer b 1 2 20 0 20 0
		until 12
		stop a
		offer b 3 8 900 0 20 0
		until 20
		offer a 5 6 800 0 20 0
		until 30
		slices
		END
		test-limits <script >actual &&
		sed 1d actual >in-contact &&
		slices_within 1 in-contact || exit 1
	done
'

test_expect_success 'slices of partitioned entries stay within the documented bound' '
	cat >script <<-\END &&
	entries 8 11
	delay 5 5
	account a 1 200 0 0.1
	offer a 1 8 2000 0 20 0
	until 5
	clear
	cut 1 3
	until 15
	slices
	report
	heal
	until 20
	cut 1 3
	cut 4 6
	cut 7 8
	until 24
	clear
	until 34
	slices
	report
	heal
	until 40
	clear
	until 50
	slices
	report
	END
	test-limits <script >actual &&
	# Majority with the others isolated: 1 + 0.1 * 4; no majority: 0.1 * 8.
	grep slices actual | sed -n 1p >first &&
	grep slices actual | sed -n 2p >second &&
	grep slices actual | sed -n 3p >third &&
	slices_within 1.4 first &&
	slices_within 0.8 second &&
	slices_within 1 third &&
	tail -1 actual >healed &&
	admitted_near_due healed
'

test_expect_success 'a resumed entry does not use its old slice' '
	cat >script <<-\END &&
	entries 8 5
	delay 5 5
	account a 1 200 0 0.1
	offer a 1 8 2000 0 20 0
	until 10
	pause 4
	until 20
	clear
	wake 4
	slices
	until 30
	slices
	END
	test-limits <script >actual &&
	slices_within 1.1 actual
'

test_expect_success 'an entry without a list of entries keeps to the cut-off share' '
	cat >script <<-\END &&
	entries 8 5
	delay 5 5
	account a 1 200 0 0.1
	offer a 1 8 2000 0 20 0
	until 10
	clear
	die 4
	start 4
	blind 4 1
	until 20
	slices
	blind 4 0
	until 25
	clear
	until 35
	report
	END
	test-limits <script >actual &&
	slices_within 1.1 actual &&
	admitted_near_due actual
'

test_expect_success 'clock offsets of up to an hour do not change the results' '
	{ fleet_script 8 1 10 &&
	  printf "%s\n" "until 5" clear "until 15" report; } >straight &&
	sed "2a skew 2 3600
		2a skew 5 -900" straight >skewed &&
	test-limits <straight >expect &&
	test-limits <skewed >actual &&
	test_cmp expect actual
'

test_expect_success 'a revision changes limits within 3 s' '
	cat >script <<-\END &&
	entries 8 3
	delay 5 5
	account a 1 200 0 0.1
	account b 1 100 0 0.1
	offer a 1 8 1000 0 20 0
	offer b 1 8 1000 0 20 0
	until 5
	account a 1 40 0 0.1
	account b 1 400 0 0.1
	until 8
	clear
	until 18
	report
	END
	test-limits <script >actual &&
	admitted_near_due actual
'

test_expect_success 'a burst is divided within 3 s' '
	cat >script <<-\END &&
	entries 8 4
	delay 5 5
	fleet 300 0 0.1
	account a 1 0 0 0.1
	account b 1 0 0 0.1
	offer a 1 8 900 0 20 0
	until 10
	offer b 2 3 900 0 20 0
	until 13
	clear
	until 23
	report
	END
	test-limits <script >actual &&
	admitted_near_due actual
'

test_expect_success 'a concurrency limit holds over all entries' '
	cat >script <<-\END &&
	entries 8 6
	delay 5 5
	account a 1 0 40 0.1
	offer a 1 8 800 0 500 0
	until 10
	clear
	until 20
	report
	END
	test-limits <script >actual &&
	# 40 concurrent calls of 0.5 s each: 80 calls per second.
	awk "{ exit !(\$6 <= 80 * 1.05 && \$6 >= 80 * 0.95) }" actual
'

# overload_script TIMES DEADLINE_MS: the capacity is 64 slots of 100 ms, or 640
# calls per second; three small accounts offer a tenth of it each, a large one
# the rest.
overload_script () {
	cat <<-END
	entries 8 5
	delay 5 5
	pool 64
	account big 1 0 0 0.1
	account s1 1 0 0 0.1
	account s2 1 0 0 0.1
	account s3 1 0 0 0.1
	offer big 1 8 $((640 * $1 - 192)) 0 100 $2
	offer s1 1 8 64 0 100 $2
	offer s2 1 8 64 0 100 $2
	offer s3 1 8 64 0 100 $2
	until 5
	clear
	until 15
	total
	report
	END
}

for deadline in 0 1000 400; do
	test_expect_success "goodput at 2 and 5 times capacity (deadline $deadline ms)" '
		for times in 1 2 5; do
			overload_script $times $deadline >script &&
			test-limits <script >load-$times || exit 1
		done &&
		cat load-1 load-2 load-5 &&
		cat load-1 load-2 load-5 |
		awk "\$2 == \"total\" { n++; good[n] = \$8 }
			END { exit !(n == 3 && good[2] >= 0.95 * good[1] &&
				good[3] >= 0.95 * good[1]) }"
	'
done

test_expect_success 'p99 of small accounts is at most 1.2 times that without a large one' '
	overload_script 5 0 | sed "/offer big/d" >script &&
	test-limits <script | sed -n "s/.* s1 .* p99 \([0-9]*\) .*/\1/p" >alone &&
	for times in 2 5; do
		overload_script $times 0 >script &&
		test-limits <script |
		sed -n "s/.* s[123] .* p99 \([0-9]*\) .*/\1/p" >beside &&
		awk -v alone=$(cat alone) "{ n++; if (\$1 > 1.2 * alone) bad++ }
			END { exit !(n == 3 && !bad) }" beside || exit 1
	done
'

test_expect_success 'at most 5% of refusals come more than 50 ms after arrival' '
	for times in 2 5; do
		overload_script $times 1000 >script &&
		test-limits <script |
		awk "\$2 != \"total\" { late += \$NF; all += \$12 + \$10 }
			END { print late, all * 10; exit !(late <= 0.05 * all * 10) }" ||
		exit 1
	done
'

for size in "37 10" "37 100"; do
	test_expect_success "an entry exchanges less than 18 KB/s (entries and accounts: $size)" '
		set -- $size &&
		{ fleet_script $1 1 $2 &&
		  printf "%s\n" "until 8" clear "until 18" total; } >script &&
		test-limits <script >actual &&
		awk "{ exit !(\$10 > 0 && \$10 < 18000) }" actual
	'
done

test_done
