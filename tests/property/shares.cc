// For any sequence of lost, duplicate and late messages, paused nodes and
// demand: in any window of time, all nodes together admit at most
// burst + rate * window statements.
#include <rapidcheck.h>

#include <cstdio>
#include <map>
#include <string>
#include <tuple>
#include <vector>

extern "C" {
#include "kumquatloft/share.h"
}

namespace
{

constexpr int kNodes = 4;
constexpr uint64_t kRate = 200;
constexpr uint64_t kBurst = 40;
constexpr uint64_t kOwnedPpm = KL_SHARE_WHOLE_PPM / kNodes;

struct Bucket {
	int64_t tokens = 0;
	uint64_t valid_until_us = 0;
};

int64_t bucket_take(void *data, int64_t max)
{
	auto *bucket = static_cast<Bucket *>(data);
	int64_t taken = bucket->tokens < max ? bucket->tokens : max;
	bucket->tokens -= taken;
	return taken;
}

void bucket_add(void *data, int64_t tokens, int64_t cap)
{
	auto *bucket = static_cast<Bucket *>(data);
	bucket->tokens += tokens;
	if (bucket->tokens > cap)
		bucket->tokens = cap;
}

int64_t bucket_available(void *data)
{
	return static_cast<Bucket *>(data)->tokens;
}

void bucket_set_valid_until(void *data, uint64_t until_us)
{
	static_cast<Bucket *>(data)->valid_until_us = until_us;
}

const kl_bucket_ops_t kOps = { bucket_take, bucket_add, bucket_available,
			      bucket_set_valid_until };

struct Message {
	uint64_t due_us;
	int from;
	int to;
	bool is_request;
	kl_loan_request_t request;
	kl_loan_grant_t grant;
};

// Action, node, argument.
using Step = std::tuple<uint8_t, uint8_t, uint8_t>;

class Cluster
{
      public:
	explicit Cluster(uint64_t validity_factor)
		: validity_factor_(validity_factor)
	{
		for (int i = 0; i < kNodes; i++) {
			// Clocks are 1000 s apart: no node may compare its own
			// with that of another one.
			clock_offsets_us_[i] = 1000000000ull * (i + 1);
			shares_[i] = kl_share_new(&kOps, &buckets_[i],
						  node_clock_us(i));
			kl_share_set_limit(shares_[i], kRate, kBurst);
			kl_share_set_owned(shares_[i], kOwnedPpm, UINT64_MAX);
		}
	}

	~Cluster()
	{
		for (auto *share : shares_)
			kl_share_free(share);
	}

	void apply(const Step &step)
	{
		int node = std::get<1>(step) % kNodes;
		uint8_t argument = std::get<2>(step);

		switch (std::get<0>(step) % 7) {
		case 0:
			time_us_ += 1000ull * argument;
			break;
		case 1:
			paused_[node] = !paused_[node] && argument < 64;
			break;
		case 2:
			loss_ = argument;
			break;
		case 3:
			time_us_ += 20000ull * argument;
			break;
		default:
			spend(node, argument);
			break;
		}
		run_nodes();
	}

	bool limit_exceeded() const { return limit_exceeded_; }
	uint64_t admitted() const { return admitted_; }
	uint64_t loans() const { return loans_; }

      private:
	uint64_t node_clock_us(int node) const
	{
		return time_us_ + clock_offsets_us_[node];
	}

	void run_nodes()
	{
		deliver();
		for (int i = 0; i < kNodes; i++) {
			if (paused_[i])
				continue;
			kl_share_tick(shares_[i], node_clock_us(i));
			kl_share_add_demand(shares_[i], node_clock_us(i),
					    arrived_[i], waiting_[i]);
			arrived_[i] = 0;
			for (int lender = 0; lender < kNodes; lender++)
				request_loan(i, lender);
		}
		time_us_ += 1000;
		deliver();
	}

	void request_loan(int node, int lender)
	{
		Message message = {};

		if (lender == node ||
		    !kl_share_request_loan(shares_[node],
				    std::to_string(lender).c_str(),
				    node_clock_us(node), &message.request))
			return;
		message.from = node;
		message.to = lender;
		message.is_request = true;
		send(message);
	}

	// Loses, duplicates or delays the message at random.
	void send(Message message)
	{
		random_state_ = random_state_ * 6364136223846793005ull +
				1442695040888963407ull;
		uint64_t random = random_state_ >> 33;
		bool lost = random % 256 < loss_ / 2u;

		message.due_us = time_us_ + random % 5000;
		if (!lost)
			in_flight_.insert({ message.due_us, message });
		if (random % 7 == 0)
			in_flight_.insert({ message.due_us + random % 1500000,
					    message });
	}

	void deliver()
	{
		while (!in_flight_.empty() &&
		       in_flight_.begin()->first <= time_us_) {
			Message message = in_flight_.begin()->second;

			in_flight_.erase(in_flight_.begin());
			if (paused_[message.to])
				in_flight_.insert(
					{ time_us_ + 50000, message });
			else
				receive(message);
		}
	}

	void receive(const Message &message)
	{
		std::string from = std::to_string(message.from);
		Message reply = {};

		if (!message.is_request) {
			loans_ += message.grant.tokens > 0;
			kl_share_accept_grant(shares_[message.to], from.c_str(),
					&message.grant,
					node_clock_us(message.to));
			return;
		}
		if (!kl_share_lend(shares_[message.to], from.c_str(),
				   &message.request, node_clock_us(message.to),
				   &reply.grant))
			return;
		reply.grant.valid_for_us *= validity_factor_;
		reply.from = message.to;
		reply.to = message.from;
		send(reply);
	}

	// The request path spends tokens even while its node is paused.
	void spend(int node, uint64_t wanted)
	{
		Bucket &bucket = buckets_[node];
		uint64_t taken = 0;

		while (taken < wanted &&
		       node_clock_us(node) < bucket.valid_until_us &&
		       bucket.tokens >= KL_TOKENS_PER_STATEMENT) {
			bucket.tokens -= KL_TOKENS_PER_STATEMENT;
			taken++;
		}
		arrived_[node] += wanted;
		waiting_[node] = wanted - taken;
		admitted_ += taken;
		// A leaky bucket checks all windows at once; its level is in
		// thousandths of a statement.
		uint64_t leaked = (time_us_ - last_spend_us_) * kRate / 1000;
		limit_level_ =
			limit_level_ > leaked ? limit_level_ - leaked : 0;
		limit_level_ += taken * 1000;
		last_spend_us_ = time_us_;
		if (limit_level_ > kBurst * 1000 + 1)
			limit_exceeded_ = true;
	}

	uint64_t validity_factor_;
	uint64_t time_us_ = 0;
	uint64_t clock_offsets_us_[kNodes];
	kl_share_t *shares_[kNodes];
	Bucket buckets_[kNodes];
	bool paused_[kNodes] = {};
	uint64_t arrived_[kNodes] = {};
	uint64_t waiting_[kNodes] = {};
	uint8_t loss_ = 0; // messages lost of 512
	uint64_t random_state_ = 88172645463325252ull;
	std::multimap<uint64_t, Message> in_flight_;
	uint64_t limit_level_ = 0;
	uint64_t last_spend_us_ = 0;
	uint64_t admitted_ = 0;
	uint64_t loans_ = 0;
	bool limit_exceeded_ = false;
};

rc::Gen<std::vector<Step> > schedules()
{
	return rc::gen::resize(
		400, rc::gen::container<std::vector<Step> >(rc::gen::tuple(
			     rc::gen::arbitrary<uint8_t>(),
			     rc::gen::arbitrary<uint8_t>(),
			     rc::gen::arbitrary<uint8_t>())));
}

uint64_t runs_with_loans;

bool stays_within(const std::vector<Step> &steps, uint64_t validity_factor)
{
	Cluster cluster(validity_factor);

	for (const auto &step : steps)
		cluster.apply(step);
	runs_with_loans += cluster.loans() > 0;
	return !cluster.limit_exceeded();
}

} // namespace

int main()
{
	bool within_limit = rc::check("never over rate and burst", [] {
		RC_ASSERT(stays_within(*schedules(), 1));
	});
	uint64_t detected = 0;

	// Checks the check: loans that are valid three times as long must
	// exceed the limit in some schedule.
	rc::check("a borrower that overstays", [&detected] {
		detected += !stays_within(*schedules(), 3);
	});
	std::printf("schedules with loans: %s, overlong loans detected: %s\n",
		    runs_with_loans ? "yes" : "no", detected ? "yes" : "no");
	return within_limit && runs_with_loans && detected ? 0 : 1;
}
