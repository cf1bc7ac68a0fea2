/*
 * Messages between VMs: ONC RPC calls that expect no reply.  The types follow
 * those of control/peer_message.h, where the fields are described.
 */

/* Limits: bytes of a name, a host and an object's body; entries of a list. */
const KL_WIRE_NAME = 63;
const KL_WIRE_HOST = 47;
const KL_WIRE_BODY = 49152;
const KL_WIRE_OBJECTS = 256;
const KL_WIRE_FEEDS = 8;
const KL_WIRE_POSITIONS = 16;
const KL_WIRE_PERMITS = 16;
const KL_WIRE_LEVELS = 8;

struct kl_wire_hello {
	unsigned hyper incarnation;
	string domain<KL_WIRE_NAME>;
	bool wants_answer;
	unsigned hyper ping_us;
	unsigned hyper echo_us;
	unsigned hyper revisions<KL_WIRE_FEEDS>;
	unsigned hyper age_us;
};

/*
 * Follows the message of a hello.  VMs of earlier versions ignore it, and send
 * none.
 */
struct kl_wire_hello_extension {
	unsigned hyper store_revision;
	unsigned hyper store_revision_age_us;
};

struct kl_wire_fetch {
	unsigned int feed;
	unsigned hyper since;
	unsigned int skip;
};

struct kl_wire_object {
	string name<KL_WIRE_NAME>;
	unsigned hyper changed;
	string body<KL_WIRE_BODY>;
};

struct kl_wire_delta {
	kl_wire_fetch asked;
	unsigned hyper revision;
	bool more;
	bool whole;
	kl_wire_object objects<KL_WIRE_OBJECTS>;
};

struct kl_wire_ask {
	unsigned hyper asked_us;
	hyper want;
	unsigned hyper seen;
	hyper unspent;
};

struct kl_wire_grant {
	unsigned hyper asked_us;
	unsigned hyper sequence;
	hyper tokens;
	unsigned hyper duration_us;
};

struct kl_wire_position {
	string service<KL_WIRE_NAME>;
	unsigned hyper record_version;
	unsigned hyper term;
	unsigned hyper number;
	unsigned hyper age_us;
};

struct kl_wire_positions {
	unsigned hyper asked_us;
	kl_wire_position entries<KL_WIRE_POSITIONS>;
};

struct kl_wire_permit_request {
	string account<KL_WIRE_NAME>;
	unsigned int held;
	unsigned int wanted<KL_WIRE_LEVELS>;
	unsigned hyper seen;
	unsigned hyper answered;
	unsigned hyper latency_us;
	bool wants_answer;
	bool contended;
};

struct kl_wire_permit_requests {
	unsigned hyper asked_us;
	kl_wire_permit_request entries<KL_WIRE_PERMITS>;
};

struct kl_wire_permit_grant {
	string account<KL_WIRE_NAME>;
	unsigned hyper sequence;
	unsigned hyper asked_us;
	unsigned int permits;
	bool contended;
	unsigned hyper refresh_us;
};

struct kl_wire_permit_grants {
	unsigned hyper sent_us;
	kl_wire_permit_grant entries<KL_WIRE_PERMITS>;
};

union kl_wire_body switch (unsigned int kind) {
case 0:
	kl_wire_hello hello;
case 1:
	kl_wire_fetch fetch;
case 2:
	kl_wire_delta delta;
case 3:
	unsigned hyper term;
case 4:
	kl_wire_ask ask;
case 5:
	kl_wire_grant grant;
case 6:
	kl_wire_positions query;
case 7:
	kl_wire_positions positions;
case 9:
	kl_wire_permit_requests permit_requests;
case 10:
	kl_wire_permit_grants permit_grants;
};

struct kl_wire_message {
	string from<KL_WIRE_NAME>;
	string subject<KL_WIRE_NAME>;
	string host<KL_WIRE_HOST>;
	unsigned int port;
	kl_wire_body body;
};

program KL_PEER_PROGRAM {
	version KL_PEER_VERSION {
		void KL_PEER_TELL(kl_wire_message) = 1;
	} = 1;
} = 0x2b4c0001;
