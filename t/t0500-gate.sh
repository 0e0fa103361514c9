#!/bin/sh

test_description='admission of calls that run at most once, and home of a key'
. "$(dirname "$0")/test-lib.sh"

# Runs the commands in "script" and compares the output with "expect".
test_decisions () {
	test-calls-gate <script >actual && test_cmp expect actual
}

test_expect_success 'a ticket runs once; retries join it or get its answer' '
	cat >script <<-EOF &&
	wall 50
	admit a
	admit a
	answered a yes
	admit a
	admit b
	answer-lost b
	admit b
	EOF
	cat >expect <<-EOF &&
	a: run
	a: join
	a: replay yes
	b: run
	b: unknown answer-lost
	EOF
	test_decisions
'

test_expect_success 'a late copy of a request marked as not run does not run' '
	cat >script <<-EOF &&
	wall 50
	admit a may_run=0
	admit a
	admit a generation=1
	not-run a
	admit a generation=1
	admit a generation=2 may_run=0
	admit a generation=2
	admit a generation=3
	EOF
	cat >expect <<-EOF &&
	a: not-run marked generation 0
	a: not-run marked generation 0
	a: run
	a: not-run marked generation 1
	a: not-run marked generation 2
	a: not-run marked generation 2
	a: run
	EOF
	test_decisions
'

test_expect_success 'other boot, mismatched request, expired ticket' '
	cat >script <<-EOF &&
	wall 50
	admit a boot=2
	admit b content=1
	admit b content=2
	wall 101
	admit c
	wall 50
	admit c
	EOF
	cat >expect <<-EOF &&
	a: unknown agent-reborn
	b: run
	b: mismatch key-reused
	c: not-run ticket-expired generation 0
	c: not-run marked generation 0
	EOF
	test_decisions
'

test_expect_success 'an identity whose row was removed is not new' '
	cat >script <<-EOF &&
	wall 50
	limits 2 1000
	admit a expiry=100
	answered a yes
	admit b expiry=110
	answered b yes
	admit c expiry=120
	admit a expiry=100
	admit d expiry=90
	answered c yes
	wall 400
	remove-expired
	admit b expiry=110
	admit c expiry=120
	admit e expiry=500
	EOF
	cat >expect <<-EOF &&
	a: run
	b: run
	c: run
	a: unknown ticket-too-old
	d: unknown ticket-too-old
	b: unknown ticket-too-old
	c: unknown ticket-too-old
	e: run
	EOF
	test_decisions
'

test_expect_success 'table full of running calls: refused, expiry floor raised' '
	cat >script <<-EOF &&
	wall 50
	limits 1 1000
	admit a expiry=100
	admit b expiry=110
	admit b expiry=110
	admit b expiry=130 generation=1
	answered a yes
	admit b expiry=130 generation=1
	admit b expiry=140 generation=2
	EOF
	cat >expect <<-EOF &&
	a: run
	b: not-run gate-full generation 0
	b: unknown ticket-too-old
	b: not-run gate-full generation 1
	b: unknown ticket-too-old
	b: run
	EOF
	test_decisions
'

test_expect_success 'outcome is unknown after the answer was evicted' '
	cat >script <<-EOF &&
	wall 50
	limits 9 6
	admit a
	answered a 12345
	admit a
	admit b
	answered b 12345
	admit a
	admit b
	EOF
	cat >expect <<-EOF &&
	a: run
	a: replay 12345
	b: run
	a: unknown answer-evicted
	b: replay 12345
	EOF
	test_decisions
'

test_expect_success 'a key without ticket runs at its home only, once per lifetime' '
	cat >script <<-EOF &&
	now 1000
	admit k key=1 ticket=0 exclusive_home=0
	admit k key=1 ticket=0
	answered k yes
	now 9000
	admit k key=1 ticket=0
	now 11500
	remove-expired
	admit k key=1 ticket=0
	limits 1 1000
	now 20000
	admit x key=1 ticket=0
	answered x yes
	admit y key=1 ticket=0
	now 25000
	admit x key=1 ticket=0
	now 30001
	answer-lost y
	admit x key=1 ticket=0
	EOF
	cat >expect <<-EOF &&
	k: earlier-run-possible home-unsure
	k: run
	k: replay yes
	k: run
	x: run
	y: run
	x: earlier-run-possible gate-was-full
	x: run
	EOF
	test_decisions
'

# A run may begin at any time until it ends: it waits in the upstream.
test_expect_success 'the lifetime of a key counts from the end of its run' '
	cat >script <<-EOF &&
	now 1000
	admit k key=1 ticket=0
	now 20000
	remove-expired
	answered k yes
	remove-expired
	now 29999
	remove-expired
	admit k key=1 ticket=0
	now 30001
	remove-expired
	admit k key=1 ticket=0
	now 50000
	answer-lost k
	now 59999
	remove-expired
	admit k key=1 ticket=0
	EOF
	cat >expect <<-EOF &&
	k: run
	k: replay yes
	k: run
	k: unknown answer-lost
	EOF
	test_decisions
'

# The home of k1 is a; that of k2 is b while b is in the view.
test_expect_success 'a home is exclusive only with a long and complete view' '
	cat >script <<-EOF &&
	now 100000
	self a
	view a
	exclusive k1
	now 121000
	view a b
	exclusive k1
	exclusive k2
	now 122000
	view a b@11000
	exclusive k1
	now 123000
	view a
	exclusive k1
	exclusive k2
	now 144000
	view a
	exclusive k2
	view b
	exclusive k1
	EOF
	cat >expect <<-EOF &&
	k1: not-exclusive
	k1: exclusive
	k2: not-exclusive
	k1: not-exclusive
	k1: exclusive
	k2: not-exclusive
	k2: exclusive
	k1: not-exclusive
	EOF
	test_decisions
'

# While a is away, or b is without contact, b may run the keys of a.
test_expect_success 'a home that was away for a lifetime waits for another one' '
	cat >script <<-EOF &&
	now 100000
	self a
	view a b
	now 109000
	view a b
	now 118000
	view a b
	now 121000
	view a b
	exclusive k1
	view b
	now 126000
	view a b
	exclusive k1
	view b
	now 135000
	view b
	now 144000
	view b
	now 148000
	view a b
	exclusive k1
	now 157000
	view a b
	now 166000
	view a b
	now 167000
	view a b
	exclusive k1
	now 169000
	view a b
	exclusive k1
	EOF
	cat >expect <<-EOF &&
	k1: exclusive
	k1: exclusive
	k1: not-exclusive
	k1: not-exclusive
	k1: exclusive
	EOF
	test_decisions
'

test_expect_success 'a home without contact for a lifetime waits for another one' '
	cat >script <<-EOF &&
	now 100000
	self a
	view a b
	now 109000
	view a b
	now 118000
	view a b
	now 121000
	view a b
	exclusive k1
	now 141000
	view a b@20000
	exclusive k1
	now 142000
	view a b
	exclusive k1
	now 151000
	view a b
	now 160000
	view a b
	exclusive k1
	now 163000
	view a b
	exclusive k1
	EOF
	cat >expect <<-EOF &&
	k1: exclusive
	k1: not-exclusive
	k1: not-exclusive
	k1: not-exclusive
	k1: exclusive
	EOF
	test_decisions
'

# The table forgets the contact of an agent that moved.
test_expect_success 'a home that another one moved from waits for its contact only' '
	cat >script <<-EOF &&
	now 100000
	self a
	view a b
	now 109000
	view a b
	now 118000
	view a b
	now 121000
	view a b@121000
	exclusive k1
	now 124000
	view a b
	exclusive k1
	now 140000
	view a b@140000
	now 143000
	view a b
	exclusive k1
	EOF
	cat >expect <<-EOF &&
	k1: not-exclusive
	k1: exclusive
	k1: not-exclusive
	EOF
	test_decisions
'

for seed in 1 2 3; do
	test_expect_success "no identity runs twice with random requests, seed $seed" '
		test-calls-gate '$seed'
	'
done

test_done
