/*
 * The gate of one agent and the copies of one call that is bound to it by a
 * ticket.  Copies stay in flight for as long as they like (paused entries,
 * slow networks, a caller that repeats through other entries); the agent
 * may be reborn, evict rows and lose answers at any moment.
 *
 * Checked: the call runs at most once, and once the caller was told "not
 * run" about a ticket of some generation, no copy with that generation or
 * an earlier one runs.
 *
 * Leaving out a part of the design must break that: NO_MARK, NO_FLOOR and
 * NO_BOOT.
 */

#define BOOTS 2
#define GENERATIONS 3
#define COPIES 3 /* in flight at once, for each boot and generation */
#define SENDS 5	 /* by the caller, in all */

mtype = { absent, running, sent, answered, lost, marked };

mtype state = absent;
byte boot = 0;
byte generation;  /* of the row */
byte floor_above; /* generations below it were evicted */
byte flying[BOOTS * GENERATIONS];
byte runs;
bool ran[GENERATIONS];
bool told_not_run[GENERATIONS];
byte ticket_boot, ticket_generation; /* the caller's */
byte sends;

inline tell_not_run(g)
{
	told_not_run[g] = true;
	if
	:: ticket_generation == g && g + 1 < GENERATIONS ->
		ticket_generation = g + 1
	:: skip /* the answer was lost on its way */
	fi
}

/* What gate_admit does with a copy; may_run is its other checks' result. */
inline admit(b, g)
{
	if
#ifndef NO_BOOT
	:: b != boot -> skip /* unknown */
	:: else ->
#else
	:: true ->
#endif
		if
		:: state == running || state == sent -> skip /* join */
		:: state == answered || state == lost -> skip
		:: state == marked && g <= generation -> tell_not_run(g)
		:: state == marked && g > generation ->
			generation = g;
			if
			:: state = running
			:: tell_not_run(g)
			fi
#ifndef NO_FLOOR
		:: state == absent && g < floor_above -> skip /* unknown */
		:: state == absent && g >= floor_above ->
#else
		:: state == absent ->
#endif
			generation = g;
			if
			:: state = running
			:: /* refused: no time left, draining, paused */
#ifndef NO_MARK
				state = marked;
#endif
				tell_not_run(g)
			fi
		fi
	fi
}

active proctype agent()
{
	byte i;

end:	do
	:: atomic {
		select (i : 0 .. 5);
		if
		:: flying[i] > 0 ->
			flying[i]--;
			admit(i / GENERATIONS, i % GENERATIONS)
		:: else -> skip
		fi
	   }
	:: atomic { state == running -> /* the hand-over */
		state = sent;
		runs++;
		ran[generation] = true
	   }
	:: atomic { state == running -> /* proved: never sent */
		state = marked;
		tell_not_run(generation)
	   }
	:: atomic { state == sent -> state = answered }
	:: atomic { state == sent -> state = lost }
	:: atomic { state == answered || state == lost || state == marked ->
		if
		:: generation + 1 > floor_above -> floor_above = generation + 1
		:: else -> skip
		fi;
		state = absent
	   }
	:: atomic { boot + 1 < BOOTS -> /* reborn: it remembers nothing */
		boot++;
		state = absent;
		generation = 0;
		floor_above = 0
	   }
	od
}

/* The caller repeats through any entry, whatever it was told. */
active proctype caller()
{
	byte i;

	atomic { ticket_boot = boot }
end:	do
	:: atomic { sends < SENDS ->
		i = ticket_boot * GENERATIONS + ticket_generation;
		if
		:: flying[i] < COPIES -> flying[i]++; sends++
		:: else -> skip
		fi
	   }
	:: sends == SENDS -> break
	od
}

/* A told not-run must hold from then on. */
#define FALSE_NOT_RUN                                                          \
	(told_not_run[0] && ran[0] || told_not_run[1] && ran[1] ||             \
	 told_not_run[2] && ran[2])

never {
	do
	:: runs > 1 || FALSE_NOT_RUN -> break
	:: else
	od
}
