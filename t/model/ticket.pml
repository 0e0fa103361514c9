/*
 * Model of the gate of one agent and of the attempts of one call that is
 * bound to the agent by a ticket.  An attempt may stay in flight for any time
 * (paused entries, slow networks, a caller that retries through other
 * entries).  The agent may restart, evict rows and lose answers at any time.
 *
 * Checked: the call runs at most once, and after the caller was told "not
 * run" for a ticket of some generation, no attempt with that generation or an
 * earlier one runs.
 *
 * With NO_MARK, NO_FLOOR or NO_BOOT defined, a part of the design is left out
 * and the check must fail: rows are not marked as not run, there is no floor
 * for the generations of evicted rows, or the boot in the ticket is ignored.
 */

#define BOOTS 2
#define GENERATIONS 3
#define IN_FLIGHT_MAX 3 /* attempts per boot and generation */
#define ATTEMPTS_MAX 5	/* total, by the caller */

mtype = { absent, running, sent, answered, lost, marked_not_run };

mtype state = absent;
byte boot = 0;
byte generation;  /* of the row */
byte generation_floor; /* rows of lower generations were evicted */
byte in_flight[BOOTS * GENERATIONS];
byte runs;
bool ran[GENERATIONS];
bool reported_not_run[GENERATIONS];
byte ticket_boot, ticket_generation; /* of the caller's ticket */
byte attempts;

inline report_not_run(g)
{
	reported_not_run[g] = true;
	if
	:: ticket_generation == g && g + 1 < GENERATIONS ->
		ticket_generation = g + 1
	:: skip /* the reply was lost */
	fi
}

/* What the gate does with an attempt with boot b and generation g. */
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
		:: state == marked_not_run && g <= generation -> report_not_run(g)
		:: state == marked_not_run && g > generation ->
			generation = g;
			if
			:: state = running
			:: report_not_run(g)
			fi
#ifndef NO_FLOOR
		:: state == absent && g < generation_floor -> skip /* unknown */
		:: state == absent && g >= generation_floor ->
#else
		:: state == absent ->
#endif
			generation = g;
			if
			:: state = running
			:: /* refused: no time left, draining, paused */
#ifndef NO_MARK
				state = marked_not_run;
#endif
				report_not_run(g)
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
		:: in_flight[i] > 0 ->
			in_flight[i]--;
			admit(i / GENERATIONS, i % GENERATIONS)
		:: else -> skip
		fi
	   }
	:: atomic { state == running -> /* sent to the upstream */
		state = sent;
		runs++;
		ran[generation] = true
	   }
	:: atomic { state == running -> /* certainly not sent */
		state = marked_not_run;
		report_not_run(generation)
	   }
	:: atomic { state == sent -> state = answered }
	:: atomic { state == sent -> state = lost }
	:: atomic { state == answered || state == lost || state == marked_not_run ->
		if
		:: generation + 1 > generation_floor -> generation_floor = generation + 1
		:: else -> skip
		fi;
		state = absent
	   }
	:: atomic { boot + 1 < BOOTS -> /* restart: all state is lost */
		boot++;
		state = absent;
		generation = 0;
		generation_floor = 0
	   }
	od
}

/* The caller retries through any entry, whatever reply it got. */
active proctype caller()
{
	byte i;

	atomic { ticket_boot = boot }
end:	do
	:: atomic { attempts < ATTEMPTS_MAX ->
		i = ticket_boot * GENERATIONS + ticket_generation;
		if
		:: in_flight[i] < IN_FLIGHT_MAX -> in_flight[i]++; attempts++
		:: else -> skip
		fi
	   }
	:: attempts == ATTEMPTS_MAX -> break
	od
}

/* A generation both ran and was reported as not run. */
#define FALSE_NOT_RUN                                                          \
	(reported_not_run[0] && ran[0] || reported_not_run[1] && ran[1] ||     \
	 reported_not_run[2] && ran[2])

never {
	do
	:: runs > 1 || FALSE_NOT_RUN -> break
	:: else
	od
}
