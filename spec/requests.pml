/*
 * At most once (rule 4): a request with an id is delivered twice, each time at any
 * point, and one or two pools resolve its outcome. One log entry holds both the work
 * and the record of the id.
 */

#define EFFECT 1    /* the work of the request, with the record of its id */
#define TOMBSTONE 2 /* the record under the id that makes a late original fail */
#define RECORD 3    /* with RECORD_APART: the record of the id without the work */

bool ran_twice;         /* a log has the work of the request twice */
bool ran_lost;          /* RAN was answered, but a newer primary lacks the work */
bool not_run_untrue;    /* NOT_RUN was answered, but a primary has the work */
bool verdicts_conflict; /* both RAN and NOT_RUN were answered for the id */
byte said_ran;          /* least term in which RAN was answered, or 0 */
byte said_not_run;      /* least term in which NOT_RUN was answered, or 0 */

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

/* Sets n to the position of the record x in p's log, at least the opening entry's. */
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

/* Looks up the id on the primary p and appends the entry x if there is no record. */
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

/* Answers with the verdict that was found in term t. */
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

/* One delivery of the request: the original, which may be late, or a retry. */
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

/* A pool that resolves the outcome: RAN, or NOT_RUN after it wrote a tombstone. */
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
