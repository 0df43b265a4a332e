/*
 * Read your writes (rule 3): a session writes, then reads on any instance at or above
 * its floor, the lowest log position that its reads must see. It knows the floor from
 * its token, or connects without a token and has a new floor confirmed.
 */

#define OWN 1
#define OTHER 2

bool read_below_own_write; /* a served read lacks the session's own write */

#define CHECK_PROMOTED(i) skip

#include "group.pml"

/* Asks the primary i for its position, which becomes the floor. */
#define ASK(i) IS_PRIMARY(i) -> \
	p = i; \
	floor_term = inst[i].lead; \
	floor = inst[i].size; \
	printf("primary %d gives floor (%d, %d)\n", i, floor_term, floor)

/* Reads on instance i, which compares its position with the floor in the same step. */
#define READ(i) \
	:: d_step { AT_OR_ABOVE(i, floor_term, floor) -> \
		printf("instance %d serves a read at floor (%d, %d)\n", \
			i, floor_term, floor); \
		read_below_own_write = !HOLDS(i, OWN); \
		assert(!read_below_own_write); \
		floor_term = LAST_TERM(i); \
		floor = inst[i].size }

/* Polls the fence of instance i; the answer is evaluated in a later step. */
#define POLL(i) polled = i; seen = inst[i].fence; \
	printf("instance %d shows term %d\n", i, seen)

proctype Session()
{
	byte p;
	byte floor_term;
	byte floor;
	byte polled;
	byte seen;

end:	atomic {
		pick_primary(p);
		append(p, OWN);
		floor_term = inst[p].lead;
		floor = inst[p].size
	}
end_waiting:
	d_step { MAJORITY_HOLDS(p, floor_term, floor) ->
		p = 0;
		printf("own write is acknowledged\n")
	}
end_reading:
	do
	READ(0)
	READ(1)
	READ(2)
	:: d_step { true -> floor_term = 0; floor = 0; printf("session arrives without a token\n") };
end_asking:
		do
		:: atomic {
			if
			:: ASK(0)
			:: ASK(1)
			:: ASK(2)
			fi
		   }
#ifdef FLOOR_UNCONFIRMED
		:: d_step { floor != 0 -> p = 0 };
		   break
#else
		:: atomic {
			if
			:: POLL(0)
			:: POLL(1)
			:: POLL(2)
			fi
		   }
		:: d_step { floor != 0 && seen != 0 && polled != p && seen <= floor_term ->
			p = 0;
			polled = 0;
			seen = 0
		   };
		   break
#endif
		od
	od
}

/* A write of another session, which extends the log of the primary that takes it. */
proctype Writer()
{
	byte p;

end:	atomic {
		pick_primary(p);
		append(p, OTHER);
		p = 0
	}
}

init {
	atomic {
		start_group();
		run Session();
		run Writer()
#ifdef TWO_WRITERS
		;
		run Writer()
#endif
	}
}
