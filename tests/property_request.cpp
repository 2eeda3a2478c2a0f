// Property test of the request state machine under random interleavings of arrivals, claims,
// answers, timeouts, executor failures and pauses of the process.
#include "property.h"

namespace
{

// State of one request as observed from outside the state machine.
struct RequestModel
{
  bool idempotent = false;
  bool keyed = false;
  bool claim_requested = false;
  bool claim_held = false;
  bool released = false;
  bool may_have_run = false; // the outcome of some attempt is not "not run"
  bool in_flight = false;
  bool answered_complete = false; // the last attempt got a complete answer
  guint attempt = 0;
  int executor = ROUTER_NONE;
  int replies = 0;
};

class Simulation
{
public:
  Simulation ()
  {
    environment_ = make_environment (4, 3);
    router_ = router_new ("a", router_policy_least_time, nullptr);
    router_set_seats (router_, 8, 2);
    for (int i = 0; i < executor_count_; i++)
      router_update (router_, executor_id (i).c_str (), i % 2 == 0 ? "a" : "b", EXECUTOR_LIVE, 4,
                     64);
    core_ = request_core_new (environment_, router_, 7, now_);
  }

  ~Simulation ()
  {
    request_core_free (core_);
    router_free (router_);
    environment_unref (environment_);
  }

  Simulation (const Simulation &) = delete;
  Simulation &operator= (const Simulation &) = delete;

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
        complete_claim ();
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
        // The process pauses, so many deadlines may expire at once.
        advance (*rc::gen::weightedElement<gint64> ({ { 9, 100000 }, { 1, 3000000 } }));
        break;
      case 11:
        change_executor ();
        break;
      }
  }

  // Lets all requests end, and checks that each got exactly one reply.
  void
  finish ()
  {
    advance (5 * G_USEC_PER_SEC);
    for (const auto &entry : models_)
      RC_ASSERT (entry.second.replies == 1);
    RC_ASSERT (request_core_open_count (core_) == 0U);
    for (int i = 0; i < executor_count_; i++)
      RC_ASSERT (router_executor (router_, i)->in_flight == 0U);
  }

private:
  static std::string
  executor_id (int index)
  {
    return "executor-" + std::to_string (index);
  }

  void
  arrive ()
  {
    request_spec_t spec = {};
    guint64 request = ++last_id_;
    RequestModel model;

    spec.class_index = draw (0U, 4U);
    spec.customer_index = draw (0U, 3U);
    model.idempotent = environment_->classes[spec.class_index].idempotent;
    model.keyed = !model.idempotent;
    spec.keyed = model.keyed;
    spec.deadline_us = now_ + draw<gint64> (1000, 2000000);
    models_[request] = model;
    apply ([&] (GArray *actions) { request_arrive (core_, request, &spec, now_, actions); });
  }

  void
  complete_claim ()
  {
    std::vector<guint64> pending;

    for (const auto &entry : models_)
      if (entry.second.claim_requested && !entry.second.claim_held && !entry.second.released)
        pending.push_back (entry.first);
    if (pending.empty ())
      return;
    guint64 request = *rc::gen::elementOf (pending);
    auto result
        = *rc::gen::weightedElement<request_claim_result_t> ({ { 8, REQUEST_CLAIM_HELD },
                                                               { 1, REQUEST_CLAIM_UNAVAILABLE },
                                                               { 1, REQUEST_CLAIM_TAKEN } });
    RequestModel &model = models_[request];

    model.claim_held = result == REQUEST_CLAIM_HELD;
    model.released = result != REQUEST_CLAIM_HELD;
    apply ([&] (GArray *actions) { request_claim_done (core_, request, result, now_, actions); });
    // A claim that is granted to a request that has its reply must be released, unless the request
    // may have run.
    if (model.claim_held && model.replies > 0)
      RC_ASSERT (model.released || model.may_have_run || model.answered_complete);
  }

  void
  answer ()
  {
    std::vector<guint64> sent;

    for (const auto &entry : models_)
      if (entry.second.in_flight)
        sent.push_back (entry.first);
    if (sent.empty ())
      return;
    guint64 request = *rc::gen::elementOf (sent);
    auto kind = *rc::gen::weightedElement<answer_kind_t> ({ { 6, ANSWER_COMPLETE },
                                                            { 1, ANSWER_REFUSED },
                                                            { 1, ANSWER_NOT_SENT },
                                                            { 1, ANSWER_LOST },
                                                            { 1, ANSWER_INVALID } });
    RequestModel &model = models_[request];

    // A late answer to an earlier attempt must have no effect.
    if (model.attempt > 1 && draw (0, 4) == 0)
      {
        apply ([&] (GArray *actions) {
          request_attempt_done (core_, request, model.attempt - 1, ANSWER_COMPLETE, now_, actions);
        });
        return;
      }
    model.in_flight = false;
    model.answered_complete = kind == ANSWER_COMPLETE;
    if (kind == ANSWER_COMPLETE || kind == ANSWER_LOST || kind == ANSWER_INVALID)
      model.may_have_run = true;
    apply ([&] (GArray *actions) {
      request_attempt_done (core_, request, model.attempt, kind, now_, actions);
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
    int index = draw (0, executor_count_);
    auto state = *rc::gen::element (EXECUTOR_LIVE, EXECUTOR_LIVE, EXECUTOR_LEAVING, EXECUTOR_GONE);

    router_set_state (router_, executor_id (index).c_str (), state);
    router_set_seats (router_, 8, draw (1U, 9U));
  }

  template <typename Event>
  void
  apply (Event event)
  {
    GArray *actions = g_array_new (FALSE, FALSE, sizeof (request_action_t));

    event (actions);
    for (guint i = 0; i < actions->len; i++)
      execute (g_array_index (actions, request_action_t, i));
    g_array_unref (actions);
  }

  void
  execute (const request_action_t &action)
  {
    RequestModel &model = models_[action.id];

    switch (action.kind)
      {
      case REQUEST_ACTION_CLAIM:
        RC_ASSERT (model.keyed && !model.claim_requested);
        model.claim_requested = true;
        break;
      case REQUEST_ACTION_RELEASE:
        RC_ASSERT (model.claim_held && !model.may_have_run && !model.in_flight);
        model.released = true;
        break;
      case REQUEST_ACTION_SEND:
        send (model, action);
        break;
      case REQUEST_ACTION_ABORT:
        RC_ASSERT (model.in_flight && action.attempt == model.attempt);
        model.in_flight = false;
        model.may_have_run = true;
        break;
      case REQUEST_ACTION_REPLY:
        reply (model, action);
        break;
      }
  }

  void
  send (RequestModel &model, const request_action_t &action)
  {
    const executor_t *executor = router_executor (router_, action.executor);

    RC_ASSERT (model.replies == 0 && !model.in_flight && !model.released);
    RC_ASSERT (model.idempotent || (model.claim_held && !model.may_have_run));
    RC_ASSERT (executor->state == EXECUTOR_LIVE);
    RC_ASSERT (executor->in_flight <= executor->slot_share);
    RC_ASSERT (executor->in_flight <= executor->connection_share);
    RC_ASSERT (now_ < action.deadline_us);
    model.in_flight = true;
    model.answered_complete = false;
    model.attempt = action.attempt;
    model.executor = action.executor;
  }

  void
  reply (RequestModel &model, const request_action_t &action)
  {
    outcome_t outcome = error_properties (action.error)->outcome;

    model.replies++;
    RC_ASSERT (model.replies == 1);
    RC_ASSERT (!model.in_flight);
    if (outcome == OUTCOME_NOT_RUN)
      RC_ASSERT (!model.may_have_run);
    if (outcome == OUTCOME_RESULT)
      RC_ASSERT (model.answered_complete);
    if (model.claim_held)
      RC_ASSERT (model.released == (outcome == OUTCOME_NOT_RUN));
  }

  const int executor_count_ = 6;
  environment_t *environment_;
  router_t *router_;
  request_core_t *core_;
  gint64 now_ = G_USEC_PER_SEC;
  guint64 last_id_ = 0;
  std::map<guint64, RequestModel> models_;
};

} // namespace

int
main ()
{
  Suite suite;

  suite.check (
      "non-idempotent requests run at most once; each request gets one reply, with its own answer "
      "and no false not-run; executors stay within their slot and connection shares",
      [] {
        Simulation simulation;
        int steps = draw (1, 400);

        for (int i = 0; i < steps; i++)
          simulation.step ();
        simulation.finish ();
      });
  return suite.finish ();
}
