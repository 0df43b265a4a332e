/*
 * Agreement without the store by a majority of the named hosts. A reader whom the store
 * does not answer is confirmed by a majority of the hosts that may run. A host that
 * replaces the primary, and is silent towards the others, waits until so many hosts have
 * adopted its claim that the others are no majority, and then for one read lease.
 *
 * The four hosts are the reader, the promoter and two witnesses, so three are a majority
 * and two that have adopted the claim prevent one. Time is counted in ticks. A step that
 * is not taken stands for a paused process, a network partition or an outage.
 */

#define RIGHT 2 /* ticks of a read lease */
#define LAST_TICK 7
#define WITNESSES 2

bool read_missed_acked_write; /* a read on the old primary is stale */

byte now;
bool claimed;                 /* the claim is in the store */
bool knows[WITNESSES];        /* the witness has adopted the claim */
bool unloaded[WITNESSES];     /* the witness has not read the store since its start */
bool reported[WITNESSES];     /* its report of that is in the store */
bool new_write_acked;         /* the new primary acknowledged a write */

proctype Clock()
{
end:	do
	:: now < LAST_TICK -> now++
	od
}

/* A witness may see the store at any time, or never, and may restart. */
proctype Witness(byte me)
{
end:	do
	:: d_step { claimed && !knows[me] && !unloaded[me] -> knows[me] = true }
	:: d_step { knows[me] -> reported[me] = true }
	:: d_step { !unloaded[me] -> unloaded[me] = true; knows[me] = false }
	:: d_step { unloaded[me] -> unloaded[me] = false; knows[me] = claimed }
	od
}

proctype Promoter()
{
	byte seen_at;
	byte adopted_at;

end:	claimed = true;
end_unanswered:
	d_step { seen_at = now };
end_waiting:
#ifndef NO_QUORUM
	atomic { (reported[0] || reported[1]) -> adopted_at = now };
#endif
end_leases:
#if defined(ADOPTION_NOT_AWAITED) || defined(NO_QUORUM)
	(now > seen_at + RIGHT);
#else
	(now > seen_at + RIGHT && now > adopted_at + RIGHT);
#endif
end_leading:
	new_write_acked = true
}

proctype Reader()
{
	byte asked_at;
	byte confirmed_at;
	byte answers;
	bool missed;

end:	do
	:: atomic { asked_at = now; answers = 1 };
end_first:
		if
#ifdef UNLOADED_ANSWERS
		:: d_step { !knows[0] -> answers++ }
#else
		:: d_step { !knows[0] && !unloaded[0] -> answers++ }
#endif
		:: true
		fi;
end_second:
		if
#ifdef UNLOADED_ANSWERS
		:: d_step { !knows[1] -> answers++ }
#else
		:: d_step { !knows[1] && !unloaded[1] -> answers++ }
#endif
		:: true
		fi;
end_store:
		if
		:: d_step { !claimed -> answers = 4 } /* the store confirms it itself */
		:: true
		fi;
end_answered:
		if
#ifdef HALF_AGREES
		:: answers >= 2 -> confirmed_at = asked_at
#else
		:: answers >= 3 -> confirmed_at = asked_at
#endif
		:: else
		fi
	:: d_step { true ->           /* a read arrives */
		missed = new_write_acked };
end_judging:
		if
		:: d_step { confirmed_at + RIGHT >= now ->
			read_missed_acked_write = missed;
			assert(!(read_missed_acked_write)) }
		:: else
		fi
	od
}

init
{
	atomic {
		run Clock();
		run Witness(0);
		run Witness(1);
		run Promoter();
		run Reader()
	}
}
