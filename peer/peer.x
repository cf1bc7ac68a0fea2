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
const KL_WIRE_ERAS = 8;
const KL_WIRE_VERSIONS = 258;
const KL_WIRE_USAGE = 64;
const KL_WIRE_LOADS = 32;

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

/*
 * Follows a hello with its extension, a fetch or a delta if the store has an
 * era.  VMs of earlier versions ignore it, and send none.  The versions are
 * those of the message, in its order, with their eras; other fields have the
 * plain revisions.
 */
struct kl_wire_store_era {
	unsigned hyper era;
	unsigned hyper first_revisions<KL_WIRE_ERAS>;
	unsigned hyper versions<KL_WIRE_VERSIONS>;
};

/*
 * Follows the era of a delta if any of its objects has a generation.  VMs of
 * earlier versions ignore it, and send none.
 */
struct kl_wire_generations {
	unsigned hyper generations<KL_WIRE_OBJECTS>;
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

struct kl_wire_part_fetch {
	kl_wire_fetch asked;
	unsigned int offset;
};

/* The only object of the delta has a part of its body. */
struct kl_wire_part {
	kl_wire_delta delta;
	unsigned int offset;
	unsigned int size;
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

struct kl_wire_usage_count {
	string workspace<KL_WIRE_NAME>;
	unsigned int operations;
};

struct kl_wire_usage_counts {
	unsigned hyper window;
	hyper clock_us;
	kl_wire_usage_count entries<KL_WIRE_USAGE>;
};

struct kl_wire_usage_answer {
	unsigned int received;
	hyper clock_us;
	hyper correction_us;
};

union kl_wire_usage_body switch (bool is_answer) {
case FALSE:
	kl_wire_usage_counts counts;
case TRUE:
	kl_wire_usage_answer answer;
};

struct kl_wire_usage {
	unsigned int sequence;
	unsigned hyper incarnation;
	kl_wire_usage_body body;
};

struct kl_wire_load {
	string service<KL_WIRE_NAME>;
	string upstream<KL_WIRE_NAME>;
	unsigned hyper wait_us;
	unsigned int running;
	unsigned hyper age_us;
};

struct kl_wire_loads {
	unsigned hyper asked_us;
	kl_wire_load entries<KL_WIRE_LOADS>;
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
case 8:
	kl_wire_usage usage;
case 9:
	kl_wire_loads load_query;
case 10:
	kl_wire_loads loads;
case 11:
	kl_wire_part_fetch part_fetch;
case 12:
	kl_wire_part part;
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
