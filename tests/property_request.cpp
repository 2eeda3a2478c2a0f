// Properties of the request machine under random interleavings of arrivals, claims,
// answers, timeouts, deaths of executors and pauses.
#include "property.h"

namespace
{

// What the outside world knows of one request.
struct Known
{
  bool idempotent = false;
  bool keyed = false;
  bool claim_asked = false;
  bool claim_held = false;
  bool released = false;
  bool may_have_run = false; // some send's fate is not "not run"
  bool in_flight = false;
  bool whole = false; // the last send was answered whole
  guint attempt = 0;
  int executor = ROUTER_NONE;
  int replies = 0;
};

class World
{
public:
  World ()
  {
    environment_ = make_environment (4, 3);
    router_ = router_new ("a", router_rule_own, nullptr);
    router_set_seats (router_, 8, 2);
    for (int i = 0; i < executors_; i++)
      router_update (router_, id (i).c_str (), i % 2 == 0 ? "a" : "b", EXECUTOR_LIVE, 4, 64);
    core_ = request_core_new (environment_, router_, 7, now_);
  }

  ~World ()
  {
    request_core_free (core_);
    router_free (router_);
    environment_unref (environment_);
  }

  World (const World &) = delete;
  World &operator= (const World &) = delete;

  void
  step ()
  {
    switch (draw (0, 12))
      {
      case 0:
      case 1:
      case 2:
      case 3:
        arrive ();
        break;
      case 4:
      case 5:
        settle_claim ();
        break;
      case 6:
      case 7:
      case 8:
        answer ();
        break;
      case 9:
        advance (draw<gint64> (1, 50000));
        break;
      case 10:
        // A pause of the process: every deadline may pass at once.
        advance (*rc::gen::weightedElement<gint64> ({ { 9, 100000 }, { 1, 3000000 } }));
        break;
      case 11:
        change_executor ();
        break;
      }
  }

  // Lets everything end, and checks that each request got its one answer.
  void
  finish ()
  {
    advance (5 * G_USEC_PER_SEC);
    for (const auto &entry : known_)
      RC_ASSERT (entry.second.replies == 1);
    RC_ASSERT (request_core_busy (core_) == 0U);
    for (int i = 0; i < executors_; i++)
      RC_ASSERT (router_executor (router_, i)->in_flight == 0U);
  }

private:
  static std::string
  id (int index)
  {
    return "executor-" + std::to_string (index);
  }

  void
  arrive ()
  {
    request_spec_t spec = {};
    guint64 request = ++last_;
    Known known;

    spec.class_index = draw (0U, 4U);
    spec.customer_index = draw (0U, 3U);
    known.idempotent = environment_->classes[spec.class_index].idempotent;
    known.keyed = !known.idempotent;
    spec.keyed = known.keyed;
    spec.deadline_us = now_ + draw<gint64> (1000, 2000000);
    known_[request] = known;
    apply ([&] (GArray *actions) { request_arrive (core_, request, &spec, now_, actions); });
  }

  void
  settle_claim ()
  {
    std::vector<guint64> open;

    for (const auto &entry : known_)
      if (entry.second.claim_asked && !entry.second.claim_held && !entry.second.released)
        open.push_back (entry.first);
    if (open.empty ())
      return;
    guint64 request = *rc::gen::elementOf (open);
    auto result = *rc::gen::weightedElement<claim_result_t> (
        { { 8, CLAIM_HELD }, { 1, CLAIM_UNAVAILABLE }, { 1, CLAIM_TAKEN } });
    Known &known = known_[request];

    known.claim_held = result == CLAIM_HELD;
    known.released = result != CLAIM_HELD;
    apply ([&] (GArray *actions) { request_claimed (core_, request, result, now_, actions); });
    // A claim that is held only after the answer "not run" must be given back.
    if (known.claim_held && known.replies > 0)
      RC_ASSERT (known.released || known.may_have_run || known.whole);
  }

  void
  answer ()
  {
    std::vector<guint64> sent;

    for (const auto &entry : known_)
      if (entry.second.in_flight)
        sent.push_back (entry.first);
    if (sent.empty ())
      return;
    guint64 request = *rc::gen::elementOf (sent);
    auto kind = *rc::gen::weightedElement<answer_kind_t> ({ { 6, ANSWER_WHOLE },
                                                            { 1, ANSWER_REFUSED },
                                                            { 1, ANSWER_UNSENT },
                                                            { 1, ANSWER_LOST },
                                                            { 1, ANSWER_INVALID } });
    Known &known = known_[request];

    // A late answer of an earlier attempt must change nothing.
    if (known.attempt > 1 && draw (0, 4) == 0)
      {
        apply ([&] (GArray *actions) {
          request_answered (core_, request, known.attempt - 1, ANSWER_WHOLE, now_, actions);
        });
        return;
      }
    known.in_flight = false;
    known.whole = kind == ANSWER_WHOLE;
    if (kind == ANSWER_WHOLE || kind == ANSWER_LOST || kind == ANSWER_INVALID)
      known.may_have_run = true;
    apply ([&] (GArray *actions) {
      request_answered (core_, request, known.attempt, kind, now_, actions);
    });
  }

  void
  advance (gint64 us)
  {
    now_ += us;
    apply ([&] (GArray *actions) { request_tick (core_, now_, actions); });
  }

  void
  change_executor ()
  {
    int index = draw (0, executors_);
    auto state = *rc::gen::element (EXECUTOR_LIVE, EXECUTOR_LIVE, EXECUTOR_LEAVING, EXECUTOR_GONE);

    router_set_state (router_, id (index).c_str (), state);
    router_set_seats (router_, 8, draw (1U, 9U));
  }

  template <typename Event>
  void
  apply (Event event)
  {
    GArray *actions = g_array_new (FALSE, FALSE, sizeof (request_action_t));

    event (actions);
    for (guint i = 0; i < actions->len; i++)
      carry_out (g_array_index (actions, request_action_t, i));
    g_array_unref (actions);
  }

  void
  carry_out (const request_action_t &action)
  {
    Known &known = known_[action.id];

    switch (action.kind)
      {
      case REQUEST_ACTION_CLAIM:
        RC_ASSERT (known.keyed && !known.claim_asked);
        known.claim_asked = true;
        break;
      case REQUEST_ACTION_RELEASE:
        RC_ASSERT (known.claim_held && !known.may_have_run && !known.in_flight);
        known.released = true;
        break;
      case REQUEST_ACTION_SEND:
        send (known, action);
        break;
      case REQUEST_ACTION_ABORT:
        RC_ASSERT (known.in_flight && action.attempt == known.attempt);
        known.in_flight = false;
        known.may_have_run = true;
        break;
      case REQUEST_ACTION_REPLY:
        reply (known, action);
        break;
      }
  }

  void
  send (Known &known, const request_action_t &action)
  {
    const executor_t *executor = router_executor (router_, action.executor);

    RC_ASSERT (known.replies == 0 && !known.in_flight && !known.released);
    RC_ASSERT (known.idempotent || (known.claim_held && !known.may_have_run));
    RC_ASSERT (executor->state == EXECUTOR_LIVE);
    RC_ASSERT (executor->in_flight <= executor->slot_share);
    RC_ASSERT (executor->in_flight <= executor->connection_share);
    RC_ASSERT (now_ < action.deadline_us);
    known.in_flight = true;
    known.whole = false;
    known.attempt = action.attempt;
    known.executor = action.executor;
  }

  void
  reply (Known &known, const request_action_t &action)
  {
    outcome_t outcome = error_answer (action.error)->outcome;

    known.replies++;
    RC_ASSERT (known.replies == 1);
    RC_ASSERT (!known.in_flight);
    if (outcome == OUTCOME_NOT_RUN)
      RC_ASSERT (!known.may_have_run);
    if (outcome == OUTCOME_RESULT)
      RC_ASSERT (known.whole);
    if (known.claim_held)
      RC_ASSERT (known.released == (outcome == OUTCOME_NOT_RUN));
  }

  const int executors_ = 6;
  environment_t *environment_;
  router_t *router_;
  request_core_t *core_;
  gint64 now_ = G_USEC_PER_SEC;
  guint64 last_ = 0;
  std::map<guint64, Known> known_;
};

} // namespace

int
main ()
{
  Suite suite;

  suite.check ("at most once, one answer, own answer, no false not-run, slots, connections", [] {
    World world;
    int steps = draw (1, 400);

    for (int i = 0; i < steps; i++)
      world.step ();
    world.finish ();
  });
  return suite.finish ();
}
