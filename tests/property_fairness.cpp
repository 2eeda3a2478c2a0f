// Property tests of the fair queue (shares of classes, weights of customers) and of the
// router's connection shares and outlier ejection.
#include "property.h"

namespace
{

struct QueueDeleter
{
  void
  operator() (fairqueue_t *queue) const
  {
    fairqueue_free (queue);
  }
};

// Serves `rounds` items while each customer has items queued in each class.  When all slots are in
// use, a random running item finishes before the next one is served.  Returns how often each
// (class, customer) was served.
std::map<std::pair<guint, guint>, int>
serve (fairqueue_t *queue, guint classes, guint customers, guint slots, int rounds)
{
  std::vector<std::unique_ptr<fairqueue_item_t> > items;
  std::vector<fairqueue_item_t *> running_items;
  std::map<std::pair<guint, guint>, int> served;
  guint running[ENVIRONMENT_CLASSES_MAX] = {};
  double cost[ENVIRONMENT_CLASSES_MAX];

  for (double &each : cost)
    each = 1000;
  auto push = [&] (guint of_class, guint customer) {
    items.push_back (std::unique_ptr<fairqueue_item_t> (new fairqueue_item_t ()));
    items.back ()->class_index = of_class;
    items.back ()->customer_index = customer;
    fairqueue_push (queue, items.back ().get ());
  };
  for (guint c = 0; c < classes; c++)
    for (guint f = 0; f < customers; f++)
      for (int copies = 0; copies < 3; copies++)
        push (c, f);
  for (int round = 0; round < rounds; round++)
    {
      if (running_items.size () == slots)
        {
          size_t index = draw<size_t> (0, running_items.size ());

          running[running_items[index]->class_index]--;
          running_items.erase (running_items.begin () + (long) index);
        }
      fairqueue_item_t *item = fairqueue_pop (queue, running, slots, cost);
      RC_ASSERT (item != nullptr);
      running[item->class_index]++;
      running_items.push_back (item);
      served[{ item->class_index, item->customer_index }]++;
      push (item->class_index, item->customer_index);
    }
  return served;
}

} // namespace

int
main ()
{
  Suite suite;

  suite.check ("each backlogged class gets its share and each customer its weight", [] {
    const guint classes = 3;
    const guint customers = 3;
    const guint slots = 30;
    const int rounds = 900;
    environment_t *environment = make_environment (classes, customers);
    std::unique_ptr<fairqueue_t, QueueDeleter> queue;

    environment->classes[0].share = draw (1, 5) * 0.1;
    environment->classes[1].share = draw (1, 4) * 0.1;
    environment->classes[2].share = 0.1;
    queue.reset (fairqueue_new (environment));
    auto served = serve (queue.get (), classes, customers, slots, rounds);
    for (guint c = 0; c < classes; c++)
      {
        double total = 0;

        for (guint f = 0; f < customers; f++)
          total += served[{ c, f }];
        // Up to `slots` items of other classes may be served before the first one of the class.
        RC_ASSERT (total >= environment->classes[c].share * rounds * 0.8 - slots);
        for (guint f = 0; f < customers; f++)
          RC_ASSERT (std::abs (served[{ c, f }] - total * (f + 1) / 6.0) <= 3.0);
      }
    environment_unref (environment);
  });

  suite.check ("below their shares, the more urgent class goes first", [] {
    environment_t *environment = make_environment (3, 1);
    std::unique_ptr<fairqueue_t, QueueDeleter> queue;
    std::vector<fairqueue_item_t> items (60);
    guint running[ENVIRONMENT_CLASSES_MAX] = {};
    double cost[ENVIRONMENT_CLASSES_MAX] = { 1000, 1000, 1000 };
    const guint slots = 30;

    queue.reset (fairqueue_new (environment));
    for (size_t i = 0; i < items.size (); i++)
      {
        items[i].class_index = (guint) i % 3;
        fairqueue_push (queue.get (), &items[i]);
      }
    for (guint c = 0; c < 3; c++)
      running[c] = draw (0U, 15U);
    fairqueue_item_t *item = fairqueue_pop (queue.get (), running, slots, cost);
    RC_ASSERT (item != nullptr);
    for (guint c = 0; c < item->class_index; c++)
      if (running[item->class_index] < 10U)
        RC_ASSERT (running[c] >= 10U);
    // A class above its share is served only when no class is below its own.
    if (running[item->class_index] >= 10U)
      for (guint c = 0; c < 3; c++)
        RC_ASSERT (running[c] >= 10U);
    environment_unref (environment);
  });

  suite.check ("a class never runs beyond its limit", [] {
    environment_t *environment = make_environment (2, 1);
    std::unique_ptr<fairqueue_t, QueueDeleter> queue;
    std::vector<fairqueue_item_t> items (100);
    guint running[ENVIRONMENT_CLASSES_MAX] = {};
    double cost[ENVIRONMENT_CLASSES_MAX] = { 1, 1 };
    guint slots = draw (1U, 60U);

    environment->classes[0].share = 0.1;
    environment->classes[0].limit = draw (1, 10) * 0.1;
    queue.reset (fairqueue_new (environment));
    for (auto &item : items)
      fairqueue_push (queue.get (), &item);
    while (fairqueue_item_t *item = fairqueue_pop (queue.get (), running, slots, cost))
      running[item->class_index]++;
    RC_ASSERT (running[0] >= 1U);
    RC_ASSERT (running[0] <= std::max (1.0, environment->classes[0].limit * slots + 1));
    environment_unref (environment);
  });

  suite.check ("connection shares of all seats never sum to more than the executor's connections",
               [] {
                 guint seats = draw (1U, 65U);
                 guint connections = draw (1U, 200U);
                 // VMs may disagree on the number of seats in use; the total number is fixed.
                 guint sum = 0;

                 for (guint vm = 0; vm < seats; vm++)
                   {
                     router_t *router = router_new ("a", router_policy_least_time, nullptr);

                     router_set_seats (router, seats, draw (1U, 65U));
                     router_update (router, "e", "a", EXECUTOR_LIVE, 8, connections);
                     const executor_t *executor = router_executor (router, 0);
                     sum += executor->connection_share + (executor->has_probe_connection ? 1U : 0U);
                     router_free (router);
                   }
                 RC_ASSERT (sum <= connections);
               });

  suite.check (
      "a leaving executor gets no request, an ejected one none until its ejection ends", [] {
        router_t *router = router_new ("a", router_policy_least_time, nullptr);
        gint64 now = G_USEC_PER_SEC;
        auto results = *rc::gen::container<std::vector<int> > (50, rc::gen::inRange (0, 4));

        router_set_seats (router, 1, 1);
        router_update (router, "e", "a", EXECUTOR_LIVE, 8, 64);
        for (int result : results)
          {
            const executor_t *executor = router_executor (router, 0);
            bool is_ejected = executor->ejected_until_us > now;
            int index = router_pick (router, ROUTER_NONE, now, 1);

            RC_ASSERT ((index == ROUTER_NONE) == is_ejected);
            if (index != ROUTER_NONE)
              router_request_done (router, index, (router_result_t) result, 1000, now);
            now += draw<gint64> (1, 2000000);
          }
        router_set_state (router, "e", EXECUTOR_LEAVING);
        // A delayed list still reports it as live.
        router_update (router, "e", "a", EXECUTOR_LIVE, 8, 64);
        RC_ASSERT (router_pick (router, ROUTER_NONE, now + (gint64) 3600 * G_USEC_PER_SEC, 1)
                   == ROUTER_NONE);
        router_free (router);
      });
  return suite.finish ();
}
