/*
 * Change of a group's primary, and the acknowledgement of writes.
 *
 * The group's record is in the platform's store and changes only by conditional
 * update.  Two promoters race.  Either may crash or be cut off at any point,
 * which the model shows as a process that takes no further step; a frozen
 * process takes no step for a while.  A proxy runs a write and acknowledges it
 * only once it has proven that the primary's term is current, by a lease or by
 * a majority of the databases.  If the store's answer to an update is lost, the
 * promoter reads the record again.
 *
 * Variants that must violate an assertion:
 * BROKEN_FENCE: a promoter does not wait until leases have expired.
 * BROKEN_SEAL: a promoter seals no database.
 * BROKEN_RETRY: a proxy sends a write again that may have run.
 */
#define DBS 3
#define MAJORITY 2
#ifndef MAXTERM
#define MAXTERM 2
#endif
#define LEASE 1
#ifdef BROKEN_FENCE
#define FENCE_WAIT 0
#else
#define FENCE_WAIT 2
#endif
#define WRITES_PER_PROXY 1

mtype = { STABLE, FENCING, PROMOTING };

/* The group's record. */
byte rec_term = 1;
mtype rec_state = STABLE;
byte rec_primary = 0;

/* The databases; one rejects writes of terms below db_sealed. */
byte db_term[DBS];
byte db_sealed[DBS];
bool db_primary[DBS];

/* The highest term that any database was promoted to. */
byte highest_promoted = 1;

/* Timers that Clock counts down together. */
byte lease[1];		/* time left of a proxy's lease */
byte lease_from_send[1];	/* the same, counted from the send of the read */
byte fence_wait[2];	/* time until a promoter may seal */

inline update_record(old_term, old_state, old_primary, new_term, new_state, new_primary)
{
	atomic {
		if
		:: rec_term == old_term && rec_state == old_state &&
		   rec_primary == old_primary ->
			rec_term = new_term;
			rec_state = new_state;
			rec_primary = new_primary
		:: else -> skip
		fi
	}
}

active proctype Clock()
{
	do
	:: atomic {
		lease[0] > 0 || lease_from_send[0] > 0 || fence_wait[0] > 0 ||
		fence_wait[1] > 0 ->
		lease[0] = (lease[0] > 0 -> lease[0] - 1 : 0);
		lease_from_send[0] =
			(lease_from_send[0] > 0 -> lease_from_send[0] - 1 : 0);
		fence_wait[0] = (fence_wait[0] > 0 -> fence_wait[0] - 1 : 0);
		fence_wait[1] = (fence_wait[1] > 0 -> fence_wait[1] - 1 : 0)
	}
	od
}

proctype Promoter(byte id)
{
	byte term, primary, sealed_count, db;
	mtype state;
	bool sealed_here[DBS];

	do
	:: atomic {
		/* Reset, so that an earlier round adds no states. */
		sealed_count = 0; db = 0;
		sealed_here[0] = false; sealed_here[1] = false; sealed_here[2] = false;
		term = rec_term; state = rec_state; primary = rec_primary;
	   };
	   if
	   :: state == STABLE && term < MAXTERM ->
		/* The primary may have failed or may be alive. */
		update_record(term, STABLE, primary, term + 1, FENCING, primary)
	   :: state == FENCING ->
		fence_wait[id] = FENCE_WAIT;
		fence_wait[id] == 0;
#ifdef BROKEN_SEAL
		sealed_count = MAJORITY;
		sealed_here[1] = true;
#endif
		do
		:: sealed_count < MAJORITY ->
			if
			:: db = 0
			:: db = 1
			:: db = 2
			fi;
			atomic {
				if
				:: !sealed_here[db] && db_sealed[db] <= term ->
					db_sealed[db] = term;
					sealed_here[db] = true;
					sealed_count++
				:: else -> break /* sealed by a later term */
				fi
			}
		:: else -> break
		od;
		if
		:: sealed_count >= MAJORITY ->
			if
			:: sealed_here[0] -> db = 0
			:: sealed_here[1] -> db = 1
			:: sealed_here[2] -> db = 2
			fi;
			update_record(term, FENCING, primary, term, PROMOTING, db)
		:: else -> skip
		fi
	   :: state == PROMOTING ->
		atomic {
			if
			:: db_sealed[primary] <= term &&
			   db_term[primary] <= term ->
				db_primary[primary] = true;
				db_term[primary] = term;
				db_sealed[primary] = term;
				highest_promoted =
					(term > highest_promoted ->
					 term : highest_promoted)
			:: else -> skip
			fi
		};
		if
		:: db_primary[primary] && db_term[primary] == term ->
			update_record(term, PROMOTING, primary, term, STABLE, primary)
		/* The candidate does not answer: start the next term. */
		:: term < MAXTERM ->
			update_record(term, PROMOTING, primary, term + 1,
				      FENCING, primary)
		fi
	   :: else -> break
	   fi
	od
}

proctype Proxy(byte id)
{
	byte term, primary, accepted_count, db;
	byte promoted_when_run;	/* highest_promoted when the write ran */
	byte run_count;	/* of one write, which must not run twice */
	byte writes_left = WRITES_PER_PROXY;
	mtype state;
	bool asked[DBS];

	do
	:: writes_left > 0 ->
		/* The lease starts when the read of the record is sent. */
		lease_from_send[id] = LEASE;
		atomic {
			term = rec_term; state = rec_state;
			primary = rec_primary;
			lease[id] = lease_from_send[id]
		};
		if
		:: state != STABLE -> goto next_write
		:: else -> skip
		fi;
		run_count = 0;
execute:
		atomic {
			if
			:: db_primary[primary] && db_term[primary] == term &&
			   db_sealed[primary] <= term ->
				run_count++;
				promoted_when_run = highest_promoted
			:: else -> goto next_write /* refused: it did not run */
			fi
		};
		assert(run_count <= 1);
		if
		:: skip /* the answer arrives */
		:: goto answer_lost
		fi;
		if
		:: atomic { lease[id] > 0 ->
			/* Proven by the lease. */
			assert(highest_promoted <= term) }
		:: true ->
			/* Proven by a majority, asked one by one. */
			accepted_count = 0;
			d_step { asked[0] = false; asked[1] = false;
				 asked[2] = false };
			do
			:: accepted_count < MAJORITY ->
				if
				:: !asked[0] -> db = 0
				:: !asked[1] -> db = 1
				:: !asked[2] -> db = 2
				:: asked[0] && asked[1] && asked[2] ->
					goto next_write /* outcome unknown */
				fi;
				atomic {
					asked[db] = true;
					if
					:: db_sealed[db] <= term &&
					   db_term[db] <= term -> accepted_count++
					:: else -> skip
					fi
				}
			:: else -> break
			od;
			/* The term was still current when the write ran. */
			assert(promoted_when_run <= term)
		fi;
		goto next_write;
answer_lost:
#ifdef BROKEN_RETRY
		goto execute;
#endif
		skip; /* reported as unknown outcome, never sent again */
next_write:
		writes_left--
	:: else -> break
	od
}

init {
	atomic {
		db_primary[0] = true;
		db_term[0] = 1; db_term[1] = 1; db_term[2] = 1;
		db_sealed[0] = 1; db_sealed[1] = 1; db_sealed[2] = 1;
		run Promoter(0);
		run Promoter(1);
		run Proxy(0)
	}
}
