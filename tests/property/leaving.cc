// For any sequence of evacuations, restarts, frozen and cut-off VMs, silent
// watches, platform outages and lapsed entries: a VM that was undisturbed for
// 4 s uses no database later than 5 s after its failure domain was evacuated.
#include <rapidcheck.h>

#include <cstdio>
#include <cstdlib>
#include <tuple>
#include <vector>

#include "tests/world.h"

namespace
{

constexpr int kVms = 6;
constexpr int kDbs = 3;
constexpr uint64_t kTouchUs = 4 * KL_SEC;
constexpr uint64_t kLimitUs = 5 * KL_SEC;

// Action, target, duration.
using Step = std::tuple<uint8_t, uint8_t, uint8_t>;

struct Tally {
	uint64_t evacuated = 0; // checks of a database beyond its limit
	uint64_t used = 0;	// checks of one that was still in use
};

class Simulation
{
      public:
	Simulation(uint32_t seed, uint64_t leave_us) : world_(world_new(seed))
	{
		world_use_platform_promotion(world_);
		world_->data_path_settings.leave_us = leave_us;
		world_->tuning.lease_duration_us = 5 * KL_SEC;
		for (int i = 0; i < kVms; i++)
			vms_[i] = world_add_vm(world_, vm_names[i],
					       domains[i % 3]);
		for (int i = 0; i < kDbs; i++)
			dbs_[i] = world_add_db(world_, "orders", db_names[i],
					       domains[i]);
		world_put_service(world_, "orders", 30);
		advance(6000);
	}

	~Simulation() { world_free(world_); }

	void step(const Step &step)
	{
		int target = std::get<1>(step) % kVms;
		vm_t *vm = vms_[target];
		int db = std::get<1>(step) % kDbs;

		switch (std::get<0>(step) % 15) {
		case 0:
		case 1:
		case 2:
		case 3:
			set_mark(db, !marked_us_[db]);
			break;
		case 4:
			if (vm->up && !vm->frozen) {
				vm->frozen = true;
				disturb(target);
			}
			break;
		case 5:
			heal_vm(target);
			break;
		case 6:
			if (vm->up) {
				world_kill_vm(vm);
				disturb(target);
			}
			break;
		case 7:
			vm->platform_cut = true;
			disturb(target);
			break;
		case 8:
			vm->peers_cut = true;
			disturb(target);
			break;
		case 9:
			hang_watches();
			break;
		case 10:
			set_platform_down(!world_->platform_down);
			break;
		case 11:
			lapse(db);
			break;
		case 12:
			// Ordinary noise, which is no disturbance.
			world_->jitter_us = std::get<2>(step) % 60 * KL_MS;
			world_->peer_loss_percent = std::get<2>(step) % 6;
			break;
		default:
			heal_vm(target);
			break;
		}
		advance(12u * std::get<2>(step));
	}

	void finish()
	{
		for (int i = 0; i < kVms; i++)
			heal_vm(i);
		set_platform_down(false);
		advance(12000);
	}

	bool holds_guarantees() const { return !violations_; }

	Tally tally;

      private:
	void set_mark(int db, bool on)
	{
		char name[64];

		// The platform acknowledges nothing while it is down.
		if (world_->platform_down)
			return;
		std::snprintf(name, sizeof(name), "mark/databases/%s",
			      domains[db]);
		world_put_object(world_, name,
				 on ? "{\"leaving\": true}" : "null");
		marked_us_[db] = on ? world_->now_us : 0;
	}

	// The beginning and the end of an outage disturb all VMs.
	void set_platform_down(bool down)
	{
		if (world_->platform_down == down)
			return;
		world_->platform_down = down;
		for (int i = 0; i < kVms; i++)
			disturb(i);
	}

	// Connections of all VMs to the platform are lost without a reset.
	void hang_watches()
	{
		for (int i = 0; i < kVms; i++) {
			vms_[i]->silent_feeds = ~0u;
			disturb(i);
		}
		world_run(world_, 60 * KL_MS);
		for (auto *vm : vms_)
			vm->silent_feeds = 0;
	}

	// The registry loses a database's entry for a while.
	void lapse(int db)
	{
		char name[64];

		std::snprintf(name, sizeof(name), "upstream/%s", db_names[db]);
		world_put_object(world_, name, "null");
		advance(700);
		world_register_databases(world_, "orders");
	}

	void disturb(int vm) { disturbed_us_[vm] = world_->now_us; }

	void heal_vm(int target)
	{
		vm_t *vm = vms_[target];

		if (vm->up && !vm->frozen && !vm->platform_cut &&
		    !vm->peers_cut)
			return;
		vm->platform_cut = vm->peers_cut = false;
		disturb(target);
		if (!vm->up)
			world_start_vm(vm);
		else if (vm->frozen)
			world_thaw_vm(vm);
	}

	void advance(uint64_t ms)
	{
		for (uint64_t at = 0; at < ms; at += 10) {
			world_run(world_, 10 * KL_MS);
			for (int i = 0; i < kVms; i++)
				check_vm(i);
		}
	}

	void check_vm(int index)
	{
		vm_t *vm = vms_[index];

		if (!vm->up || vm->frozen || vm->platform_cut ||
		    vm->peers_cut || world_->platform_down ||
		    world_->now_us - disturbed_us_[index] < kTouchUs)
			return;
		for (int db = 0; db < kDbs; db++) {
			if (!marked_us_[db] ||
			    world_->now_us - marked_us_[db] <= kLimitUs)
				continue;
			tally.evacuated++;
			check_use(vm, db);
		}
	}

	void check_use(vm_t *vm, int db)
	{
		if (!world_may_use(vm, "orders", db_names[db]))
			return;
		violations_++;
		tally.used++;
		if (violations_ == 1 &&
		    world_->data_path_settings.leave_us < kLimitUs)
			std::fprintf(
				stderr, "%s uses %s %llu ms after the mark\n",
				vm->name, db_names[db],
				(unsigned long long)((world_->now_us -
						      marked_us_[db]) /
						     KL_MS));
	}

	static constexpr const char *vm_names[kVms] = { "a1", "b1", "c1",
							"a2", "b2", "c2" };
	static constexpr const char *domains[3] = { "d1", "d2", "d3" };
	static constexpr const char *db_names[kDbs] = { "p1", "p2", "p3" };

	world_t *world_;
	vm_t *vms_[kVms];
	db_t *dbs_[kDbs];
	uint64_t disturbed_us_[kVms] = {};
	uint64_t marked_us_[kDbs] = {};
	uint64_t violations_ = 0;
};

bool holds(uint64_t leave_us, Tally *all)
{
	// RapidCheck draws small numbers first; this draws from all bytes.
	auto byte = rc::gen::resize(rc::kNominalSize,
				    rc::gen::arbitrary<uint8_t>());
	auto steps = *rc::gen::resize(
		30, rc::gen::container<std::vector<Step> >(
			    rc::gen::tuple(byte, byte, byte)));
	Simulation simulation(*rc::gen::arbitrary<uint32_t>(), leave_us);

	for (const auto &step : steps)
		simulation.step(step);
	simulation.finish();
	all->evacuated += simulation.tally.evacuated;
	all->used += simulation.tally.used;
	return simulation.holds_guarantees();
}

} // namespace

int main()
{
	Tally all, ignored;
	uint64_t detected = 0;
	bool kept = rc::check("evacuated databases under any schedule", [&] {
		RC_ASSERT(holds(4 * KL_SEC, &all));
	});

	// Checks the check: a longer time must break the rule.
	rc::check("a time that is too long", [&] {
		detected += !holds(6 * KL_SEC, &ignored);
	});
	std::printf("evacuated %s caught %s\n", all.evacuated ? "yes" : "no",
		    detected ? "yes" : "no");
	return kept && all.evacuated && detected ? 0 : 1;
}
