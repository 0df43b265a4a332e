/*
 * At most once (rule 4): a request with an id is delivered any time, twice, and its
 * outcome is resolved by two pools. The record of the id is the entry of the work.
 */

#define EFFECT 1    /* the work of the request and the record of its id */
#define TOMBSTONE 2 /* the record that refuses a late original */
#define RECORD 3    /* with RECORD_APART: the record of the id without the work */

bool ran_twice;         /* a log has the work of the id twice */
bool ran_lost;          /* RAN was said and a newer primary lacks the work */
bool not_run_untrue;    /* NOT_RUN was said and the work stands */
bool verdicts_conflict; /* RAN and NOT_RUN were said of one id */
byte said_ran;          /* least term in which RAN was said, or 0 */
byte said_not_run;      /* least term in which NOT_RUN was said, or 0 */

#define LOST(i) (said_ran != 0 && JUDGED(i, said_ran) && !HOLDS(i, EFFECT))
#define UNTRUE(i) \
	(said_not_run != 0 && \
	 (JUDGED(i, said_not_run) || inst[i].lead == said_not_run) && HOLDS(i, EFFECT))

#define CHECK_OUTCOME() \
	ran_lost = LOST(0) || LOST(1) || LOST(2); \
	assert(!ran_lost); \
	not_run_untrue = UNTRUE(0) || UNTRUE(1) || UNTRUE(2); \
	assert(!not_run_untrue); \
	verdicts_conflict = said_ran != 0 && said_not_run != 0; \
	assert(!verdicts_conflict)

#define CHECK_PROMOTED(i) CHECK_OUTCOME()

#include "group.pml"

#ifdef RECORD_APART
#define RECORD_KIND RECORD
#else
#define RECORD_KIND EFFECT
#endif

/* Sets n to the length of the log of p up to the record x, or of its opening entry. */
inline find(p, x)
{
	n = 0;
	do
	:: inst[p].id[n] != x -> n++
	:: else -> break
	od;
	n++;
	if
	:: n < inst[p].opening -> n = inst[p].opening
	:: else
	fi
}

/* Looks the id up on the primary p and appends the entry x if it is absent. */
inline find_or_append(p, x)
{
	t = inst[p].lead;
	if
	:: HOLDS(p, RECORD_KIND) ->
		find(p, RECORD_KIND);
		ran = true
	:: !HOLDS(p, RECORD_KIND) && HOLDS(p, TOMBSTONE) ->
		find(p, TOMBSTONE);
		ran = false
	:: else ->
		ran = x == EFFECT;
		ran_twice = x == EFFECT && HOLDS(p, EFFECT);
		assert(!ran_twice);
		append(p, x);
		n = inst[p].size;
		CHECK_OUTCOME()
	fi
}

/* Says the verdict that was found in term t. */
inline say()
{
	if
	:: ran -> printf("RAN is said in term %d\n", t)
	:: else -> printf("NOT_RUN is said in term %d\n", t)
	fi;
	if
	:: ran && (said_ran == 0 || t < said_ran) -> said_ran = t
	:: !ran && (said_not_run == 0 || t < said_not_run) -> said_not_run = t
	:: else
	fi;
	CHECK_OUTCOME();
	p = 0;
	t = 0;
	n = 0;
	ran = false
}

/* One delivery of the request: the original, which may be late, or a repeat. */
proctype Delivery()
{
	byte p;
	byte t;
	byte n;
	bool ran;

end:	atomic {
		pick_primary(p);
		d_step { find_or_append(p, EFFECT) }
	}
#ifdef RECORD_APART
end_recording:
	d_step { inst[p].lead == t && HAS_ROOM(p) -> append(p, RECORD); n = inst[p].size }
#endif
end_waiting:
	d_step { MAJORITY_HOLDS(p, t, n) -> say() }
}

/* A pool in doubt about the request: says RAN, or NOT_RUN after a tombstone. */
proctype Resolver()
{
	byte p;
	byte t;
	byte n;
	bool ran;

end:	atomic {
		pick_primary(p);
#ifdef NOT_RUN_WITHOUT_TOMBSTONE
		if
		:: d_step { !HOLDS(p, RECORD_KIND) -> t = inst[p].lead; say() };
			goto done
		:: else
		fi;
#endif
		d_step { find_or_append(p, TOMBSTONE) }
#ifdef TOMBSTONE_WITHOUT_MAJORITY
		;
		if
		:: d_step { !ran -> say() };
			goto done
		:: else
		fi
#endif
	}
end_waiting:
	d_step { MAJORITY_HOLDS(p, t, n) -> say() };
done:
	skip
}

init {
	atomic {
		start_group();
		run Delivery();
		run Delivery();
		run Resolver()
#ifdef TWO_RESOLVERS
		;
		run Resolver()
#endif
	}
}
