/* The table of error kinds: name, SQLSTATE and message. */
#include "kumquatloft/kind.h"

static const kl_error_info_t error_infos[KL_ERROR_COUNT] = {
	[KL_OK] = { "ok", "00000", "ok", false },
	[KL_E_AUTH] = { "auth", "28P01",
			"the key does not belong to this workspace; not run",
			true },
	[KL_E_KEY_WITHDRAWN] = { "key_withdrawn", "28000",
				 "the key has been withdrawn; not run", true },
	[KL_E_RATE] = { "rate", "53400",
			"the workspace's rate is used up; not run", true },
	[KL_E_CONNECTIONS] = { "connections", "53300",
			       "the workspace's connections are used up; "
			       "not run",
			       true },
	[KL_E_NO_UPSTREAM] = { "no_upstream", "57P03",
			       "no upstream can serve this now; not run",
			       true },
	[KL_E_DEADLINE] = { "deadline", "57014",
			    "the deadline passed in the queue; not run", true },
	[KL_E_UNKNOWN_OUTCOME] = { "unknown_outcome", "08007",
				   "the outcome is unknown: the statement may "
				   "have run",
				   false },
	[KL_E_REPLACED] = { "replaced", "08007",
			    "the outcome is unknown: the primary could not be "
			    "proven current after the statement ran",
			    false },
	[KL_E_WRITE_LOST] = { "write_lost", "40003",
			      "a failover lost a write this session depends "
			      "on; reset kumquatloft.session to go on; not run",
			      true },
	[KL_E_UNSUPPORTED] = { "unsupported", "0A000",
			       "this is not carried by the proxy; not run",
			       true },
	[KL_E_PROTOCOL] = { "protocol", "08P01", "malformed message", true },
	[KL_E_DRAINING] = { "draining", "57P01",
			    "this proxy is stopping; connect again; not run",
			    true },
	[KL_E_STALE_CONFIG] = { "stale_config", "57P03",
				"the configuration cannot be confirmed; "
				"not run",
				true },
	[KL_E_UPSTREAM] = { "upstream", "XX000",
			    "the upstream answered with "
			    "an error",
			    false },
	[KL_E_READ_ONLY] = { "read_only", "25006",
			     "a write in a read-only transaction; not run",
			     true },
	[KL_E_NOT_FOUND] = { "not_found", "3D000", "no such name; not run",
			     true },
	[KL_E_CONFLICT] = { "conflict", "40001", "another edit came first",
			    true },
	[KL_E_UNAVAILABLE] = { "unavailable", "08006", "no answer", false },
	[KL_E_INVALID] = { "invalid", "22023", "invalid value; not run", true },
	[KL_E_TIMEOUT] = { "timeout", "57014", "no answer in time", false },
	[KL_E_NOMEM] = { "no_memory", "53200", "out of memory; not run", true },
	[KL_E_INTERNAL] = { "internal", "XX000", "internal error", false },
	[KL_E_LAGGING] = { "lagging", "57P03",
			   "the replica lacks what the read must see; not run",
			   true },
	[KL_E_MISROUTED] = { "misrouted", "57P03",
			     "another database answers at this address; "
			     "not run",
			     true },
	[KL_E_NO_STATEMENT] = { "no_statement", "26000",
				"no prepared statement of this name; not run",
				true },
	[KL_E_ABORTED] = { "aborted", "40001",
			   "the connection is lost and the transaction rolled "
			   "back; not kept",
			   true },
};

const kl_error_info_t *kl_error_info(int error)
{
	int kind = -error;

	if (kind < 0 || kind >= KL_ERROR_COUNT)
		kind = KL_E_INTERNAL;
	return &error_infos[kind];
}
