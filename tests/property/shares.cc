// Over any schedule of lost, doubled and late messages, pauses and demand, no
// window admits more than burst + rate * window over all nodes together.
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
constexpr uint64_t kOwned = KL_SHARE_WHOLE_PPM / kNodes;

struct Purse {
	int64_t tokens = 0;
	uint64_t valid_until = 0;
};

int64_t purse_take(void *purse, int64_t max)
{
	auto *p = static_cast<Purse *>(purse);
	int64_t taken = p->tokens < max ? p->tokens : max;
	p->tokens -= taken;
	return taken;
}

void purse_put(void *purse, int64_t tokens, int64_t cap)
{
	auto *p = static_cast<Purse *>(purse);
	p->tokens += tokens;
	if (p->tokens > cap)
		p->tokens = cap;
}

int64_t purse_held(void *purse)
{
	return static_cast<Purse *>(purse)->tokens;
}

void purse_valid_until(void *purse, uint64_t until)
{
	static_cast<Purse *>(purse)->valid_until = until;
}

const kl_bucket_ops_t kOps = { purse_take, purse_put, purse_held,
			      purse_valid_until };

struct Message {
	uint64_t at;
	int from;
	int to;
	bool is_ask;
	kl_loan_request_t ask;
	kl_loan_grant_t grant;
};

// A step: what, on which node, with what argument.
using Step = std::tuple<uint8_t, uint8_t, uint8_t>;

class Fleet
{
      public:
	explicit Fleet(uint64_t stretch) : stretch_(stretch)
	{
		for (int i = 0; i < kNodes; i++) {
			// Clocks of different nodes are far apart.
			offset_[i] = 1000000000ull * (i + 1);
			share_[i] = kl_share_new(&kOps, &purse_[i], now(i));
			kl_share_set_limit(share_[i], kRate, kBurst);
			kl_share_set_owned(share_[i], kOwned, UINT64_MAX);
		}
	}

	~Fleet()
	{
		for (auto *share : share_)
			kl_share_free(share);
	}

	void run(const Step &step)
	{
		int node = std::get<1>(step) % kNodes;
		uint8_t argument = std::get<2>(step);

		switch (std::get<0>(step) % 7) {
		case 0:
			time_ += 1000ull * argument;
			break;
		case 1:
			paused_[node] = !paused_[node] && argument < 64;
			break;
		case 2:
			lossy_ = argument;
			break;
		case 3:
			time_ += 20000ull * argument;
			break;
		default:
			spend(node, argument);
			break;
		}
		turn();
	}

	bool broken() const { return broken_; }
	uint64_t admitted() const { return admitted_; }
	uint64_t loans() const { return loans_; }

      private:
	uint64_t now(int node) const { return time_ + offset_[node]; }

	void turn()
	{
		deliver();
		for (int i = 0; i < kNodes; i++) {
			if (paused_[i])
				continue;
			kl_share_tick(share_[i], now(i));
			kl_share_add_demand(share_[i], now(i), came_[i],
					waiting_[i]);
			came_[i] = 0;
			for (int lender = 0; lender < kNodes; lender++)
				ask(i, lender);
		}
		time_ += 1000;
		deliver();
	}

	void ask(int node, int lender)
	{
		Message message = {};

		if (lender == node ||
		    !kl_share_request_loan(share_[node],
				    std::to_string(lender).c_str(), now(node),
				    &message.ask))
			return;
		message.from = node;
		message.to = lender;
		message.is_ask = true;
		send(message);
	}

	// Lost, doubled or late, as the dice fall.
	void send(Message message)
	{
		dice_ = dice_ * 6364136223846793005ull + 1442695040888963407ull;
		uint64_t roll = dice_ >> 33;
		bool lose = roll % 256 < lossy_ / 2u;

		message.at = time_ + roll % 5000;
		if (!lose)
			wire_.insert({ message.at, message });
		if (roll % 7 == 0)
			wire_.insert({ message.at + roll % 1500000, message });
	}

	void deliver()
	{
		while (!wire_.empty() && wire_.begin()->first <= time_) {
			Message message = wire_.begin()->second;

			wire_.erase(wire_.begin());
			if (paused_[message.to])
				wire_.insert({ time_ + 50000, message });
			else
				open(message);
		}
	}

	void open(const Message &message)
	{
		std::string from = std::to_string(message.from);
		Message reply = {};

		if (!message.is_ask) {
			loans_ += message.grant.tokens > 0;
			kl_share_accept_grant(share_[message.to], from.c_str(),
					&message.grant, now(message.to));
			return;
		}
		if (!kl_share_lend(share_[message.to], from.c_str(),
				   &message.ask, now(message.to),
				   &reply.grant))
			return;
		reply.grant.valid_for_us *= stretch_;
		reply.from = message.to;
		reply.to = message.from;
		send(reply);
	}

	// The request path spends also while the control side is paused.
	void spend(int node, uint64_t wanted)
	{
		Purse &purse = purse_[node];
		uint64_t taken = 0;

		while (taken < wanted && now(node) < purse.valid_until &&
		       purse.tokens >= KL_TOKENS_PER_STATEMENT) {
			purse.tokens -= KL_TOKENS_PER_STATEMENT;
			taken++;
		}
		came_[node] += wanted;
		waiting_[node] = wanted - taken;
		admitted_ += taken;
		// A leaking bucket holds every window to the limit at once.
		uint64_t leaked = (time_ - spent_at_) * kRate / 1000;
		level_ = level_ > leaked ? level_ - leaked : 0;
		level_ += taken * 1000;
		spent_at_ = time_;
		if (level_ > kBurst * 1000 + 1)
			broken_ = true;
	}

	uint64_t stretch_;
	uint64_t time_ = 0;
	uint64_t offset_[kNodes];
	kl_share_t *share_[kNodes];
	Purse purse_[kNodes];
	bool paused_[kNodes] = {};
	uint64_t came_[kNodes] = {};
	uint64_t waiting_[kNodes] = {};
	uint8_t lossy_ = 0;
	uint64_t dice_ = 88172645463325252ull;
	std::multimap<uint64_t, Message> wire_;
	uint64_t level_ = 0;
	uint64_t spent_at_ = 0;
	uint64_t admitted_ = 0;
	uint64_t loans_ = 0;
	bool broken_ = false;
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

bool stays_within(const std::vector<Step> &steps, uint64_t stretch)
{
	Fleet fleet(stretch);

	for (const auto &step : steps)
		fleet.run(step);
	runs_with_loans += fleet.loans() > 0;
	return !fleet.broken();
}

} // namespace

int main()
{
	bool good = rc::check("never over rate and burst", [] {
		RC_ASSERT(stays_within(*schedules(), 1));
	});
	uint64_t caught = 0;

	// The check itself: borrowers that hold on three times too long.
	rc::check("a borrower that overstays", [&caught] {
		caught += !stays_within(*schedules(), 3);
	});
	std::printf("schedules with loans: %s, overstaying caught: %s\n",
		    runs_with_loans ? "yes" : "no", caught ? "yes" : "no");
	return good && runs_with_loans && caught ? 0 : 1;
}
