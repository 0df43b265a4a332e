/*
 * The right to read a primary, in the deployment whose records lie in a store: a reader
 * whose right was confirmed a while ago, a promoter that replaces the primary, calls that
 * are frozen, late or unanswered at any point, and a store that answers nobody.
 *
 * Time is counted in ticks; a step that is not taken is a freeze, a cut or an outage.
 */

#define RIGHT 2
#define LAST_TICK 6

bool read_missed_acked_write; /* a read at the old primary missed a write */

byte now;
byte head = 1;           /* revision of the group record in the store */
byte promoter_knows = 1; /* newest record that the promoter has seen */
byte reader_knows = 1;   /* newest record that the reader has seen */
bool given_up;           /* the reader has written that it gave the primary up */
bool promoted;
bool new_write_acked;    /* a write of the new primary was acknowledged */

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
	head = 2;                 /* the claim takes effect, perhaps late */
end_unanswered:
	d_step {                  /* its own claim comes back */
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
			/* It runs at the old primary, however late. */
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
