/*
 * The read lease, in the deployment that keeps its records in a store. A host may read
 * a primary for RIGHT ticks after its view of the group record was confirmed. The model
 * has such a reader, a promoter that replaces the primary, calls that are delayed, late
 * or unanswered at any point, and a store that may not answer at all. The reader's view
 * is confirmed by the store, or by all other hosts (here the promoter).
 *
 * Time is counted in ticks. A step that is not taken stands for a paused process, a
 * network partition or an outage.
 */

#define RIGHT 2 /* ticks of a read lease */
#define LAST_TICK 6

bool read_missed_acked_write; /* a read on the old primary is stale */

byte now;
byte head = 1;           /* revision of the group record in the store */
byte promoter_knows = 1; /* newest revision that the promoter has seen */
byte reader_knows = 1;   /* newest revision that the reader has seen */
bool given_up;           /* the reader has written that it relinquished the primary */
bool promoted;
bool new_write_acked;    /* the new primary acknowledged a write */

proctype Clock()
{
end:	do
	:: now < LAST_TICK -> now++
	od
}

proctype Promoter()
{
	byte sent_at;
	byte seen_at;

end:	sent_at = now;
	head = 2;                 /* the promoter's claim is stored, perhaps late */
end_unanswered:
	d_step {                  /* the promoter sees its claim in the store */
		promoter_knows = 2;
#ifdef WAIT_FROM_SENDING
		seen_at = sent_at
#else
		seen_at = now
#endif
	};
end_waiting:
#ifdef PROMOTE_AT_ONCE
	true;
#else
	(given_up || now > seen_at + RIGHT);
#endif
	promoted = true;
end_leading:
	new_write_acked = true
}

proctype Reader()
{
	byte asked_at;
	byte confirmed_at;
	bool confirmed;
	bool missed;

end:	do
	:: atomic { asked_at = now };
end_asking:
		if
		:: d_step { head == reader_knows -> confirmed = true }  /* by the store */
#ifndef ONLY_THE_STORE
		:: d_step { promoter_knows <= reader_knows -> confirmed = true } /* by all */
#endif
		:: confirmed = false     /* no answer */
		fi;
end_answered:
		d_step {                 /* the answer arrives, perhaps late */
			if
#ifdef RIGHT_FROM_ANSWER
			:: confirmed -> confirmed_at = now
#else
			:: confirmed -> confirmed_at = asked_at
#endif
			:: else
			fi
		}
	:: d_step { head > reader_knows && reader_knows == 1 -> reader_knows = head };
		given_up = true;
		break
	:: d_step { true ->      /* a read arrives */
		missed = new_write_acked };
end_judging:
		if
		:: d_step { confirmed_at + RIGHT >= now ->
			/* The read runs on the old primary, however late. */
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
		run Promoter();
		run Reader()
	}
}
