/*
 * Acknowledgement and promotion (rules 1 and 2): a write is sent to any instance that
 * takes itself for primary, and is acknowledged by the majority rule.
 */

#define WRITES 2

bool acked_write_lost;         /* a later primary lacks an acknowledged write */
bool old_primary_acknowledged; /* a write was acknowledged that a newer primary lacks */
byte acked[WRITES + 1];        /* term in which the write was acknowledged, or 0 */

#define LOST(i, w) (acked[w] != 0 && JUDGED(i, acked[w]) && !HOLDS(i, w))
#define CHECK_PROMOTED(i) \
	acked_write_lost = LOST(i, 1) || LOST(i, 2); \
	assert(!acked_write_lost)

#include "group.pml"

inline acknowledge(w, t)
{
	printf("write %d of term %d is acknowledged\n", w, t);
	acked[w] = t;
	old_primary_acknowledged = LOST(0, w) || LOST(1, w) || LOST(2, w);
	assert(!old_primary_acknowledged)
}

/* Writes once and waits until a majority has the position of the write. */
proctype Writer(byte w)
{
	byte p;
	byte t;
	byte n;

end:	atomic {
		pick_primary(p);
		append(p, w);
		t = inst[p].lead;
		n = inst[p].size
	}
#ifndef ACK_BEFORE_MAJORITY
end_waiting:
	d_step { MAJORITY_HOLDS(p, t, n) -> printf("a majority is seen to hold write %d\n", w) };
#endif
	d_step {
		acknowledge(w, t);
		p = 0;
		t = 0;
		n = 0
	}
}

init {
	atomic {
		start_group();
		run Writer(1);
#ifdef TWO_WRITERS
		run Writer(2)
#endif
	}
}
