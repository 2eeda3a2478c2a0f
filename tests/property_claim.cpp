// Property tests of claim tables and of placement.  No claim has two users under random
// interleavings of writes, lost replies, outages, pauses, crashes, restarts and delayed VM
// lists; allocations never exceed a worker's resources.
#include "property.h"

namespace
{

const guint claim_count = 2;
const int vm_count = 3;

// A process on a VM.
struct Process
{
  bool alive = false;
  claimant_t self = {};
  std::vector<claim_t> table; // as last read or written
  gint64 table_revision = -1;
  gint64 list_revision = 0; // of the VM list that it has read
  bool wants_claim = true;
};

// The table in the key-value service.
struct Store
{
  std::vector<claim_t> table;
  gint64 revision = 0;
};

class Simulation
{
public:
  Simulation ()
  {
    for (guint i = 0; i < claim_count; i++)
      {
        claim_t claim = {};

        g_snprintf (claim.name, sizeof claim.name, "%u", i);
        store_.table.push_back (claim);
      }
    lists_.push_back ({});
    for (int vm = 0; vm < vm_count; vm++)
      start (vm);
  }

  void
  step ()
  {
    int vm = draw (0, vm_count);

    switch (draw (0, 9))
      {
      case 0:
        if (draw (0, 3) == 0)
          kill (vm);
        break;
      case 1:
        if (!processes_[vm].alive)
          start (vm);
        break;
      case 2:
        if (!processes_[vm].alive)
          list_remove_vm (vm);
        break;
      case 3:
        refresh_list (vm);
        break;
      case 4:
        processes_[vm].wants_claim = !processes_[vm].wants_claim;
        break;
      case 5:
        read (vm);
        break;
      default:
        propose (vm);
        break;
      }
    check ();
  }

private:
  void
  start (int vm)
  {
    Process &process = processes_[vm];

    process = Process ();
    process.alive = true;
    g_snprintf (process.self.vm, sizeof process.self.vm, "vm-%d-%d", vm, generation_[vm]);
    g_snprintf (process.self.incarnation, sizeof process.self.incarnation, "%d",
                ++incarnation_count_);
    g_snprintf (process.self.address, sizeof process.self.address, "10.0.0.%d", vm);
    std::set<std::string> next = lists_.back ();
    if (next.insert (process.self.vm).second)
      lists_.push_back (next);
  }

  void
  kill (int vm)
  {
    processes_[vm].alive = false;
  }

  // The platform removes a VM from its list only once it is gone; a replacement at the same
  // address has another id.
  void
  list_remove_vm (int vm)
  {
    std::set<std::string> next = lists_.back ();

    next.erase (processes_[vm].self.vm);
    lists_.push_back (next);
    generation_[vm]++;
  }

  void
  refresh_list (int vm)
  {
    Process &process = processes_[vm];

    // The VM gets either one of the newest lists or one a few revisions after its current list.
    // Delayed lists make the views of the VMs differ most.
    gint64 newest = (gint64) lists_.size () - 1;
    gint64 base_revision = draw (0, 2) == 0 ? process.list_revision : newest - 3;
    gint64 next = std::min (newest, base_revision + draw<gint64> (0, 4));

    process.list_revision = std::max (process.list_revision, next);
  }

  void
  read (int vm)
  {
    Process &process = processes_[vm];

    if (!process.alive)
      return;
    process.table = store_.table;
    process.table_revision = store_.revision;
  }

  void
  propose (int vm)
  {
    Process &process = processes_[vm];

    if (!process.alive || process.table_revision < 0)
      return;
    GArray *table = g_array_new (FALSE, TRUE, sizeof (claim_t));
    g_array_append_vals (table, process.table.data (), (guint) process.table.size ());
    member_list_t *list = member_list_new (process.list_revision);
    for (const std::string &name : lists_[(size_t) process.list_revision])
      {
        member_t member = {};

        g_strlcpy (member.id, name.c_str (), sizeof member.id);
        g_array_append_val (list->members, member);
      }
    guint changes = 0;
    if (process.wants_claim)
      changes = claim_acquire (table, &process.self, list, 1);
    else
      changes = claim_release (table, &process.self, 0);
    std::vector<claim_t> proposed ((claim_t *) (void *) table->data,
                                   (claim_t *) (void *) table->data + table->len);
    // A VM stops using a claim before the write that releases it.
    if (!process.wants_claim)
      process.table = proposed;
    g_array_unref (table);
    member_list_free (list);
    if (changes > 0)
      write (process, proposed);
  }

  void
  write (Process &process, const std::vector<claim_t> &proposed)
  {
    bool outage = draw (0, 5) == 0;
    bool lost = draw (0, 5) == 0;

    if (outage)
      return;
    if (store_.revision != process.table_revision)
      {
        if (!lost)
          process.table = store_.table;
        process.table_revision = lost ? -1 : store_.revision;
        return;
      }
    store_.table = proposed;
    store_.revision++;
    // After a lost reply the process has to read the table again.
    process.table_revision = lost ? -1 : store_.revision;
    if (!lost)
      process.table = proposed;
  }

  void
  check ()
  {
    for (guint claim = 0; claim < claim_count; claim++)
      {
        int users = 0;

        for (const Process &process : processes_)
          users += process.alive && claim < process.table.size ()
                   && claim_is_held_by (&process.table[claim], &process.self);
        RC_ASSERT (users <= 1);
      }
  }

  Process processes_[vm_count];
  int generation_[vm_count] = {};
  int incarnation_count_ = 0;
  Store store_;
  std::vector<std::set<std::string> > lists_; // the VM list at each of its revisions
};

} // namespace

int
main ()
{
  Suite suite;

  suite.check ("a claim has at most one user", [] {
    Simulation simulation;
    int steps = draw (1, 300);

    for (int i = 0; i < steps; i++)
      simulation.step ();
  });

  suite.check ("allocations on a worker never exceed its resources", [] {
    placer_t *placer = placer_new ();
    std::vector<std::pair<int, resources_t> > placed;
    const resources_t total = { 8000, 16000, 2 };

    for (int i = 0; i < 4; i++)
      {
        std::string name = "worker-" + std::to_string (i);
        int index = placer_update (placer, name.c_str (), "rack", &total);

        placer_worker (placer, index)->usable = true;
      }
    int steps = draw (1, 200);
    for (int step = 0; step < steps; step++)
      {
        if (!placed.empty () && draw (0, 3) == 0)
          {
            size_t index = draw<size_t> (0, placed.size ());

            placer_release (placer, placed[index].first, &placed[index].second);
            placed.erase (placed.begin () + (long) index);
          }
        const resources_t need
            = { draw<gint64> (1, 9000), draw<gint64> (1, 17000), draw<gint64> (0, 3) };
        int worker = placer_place (placer, &need, 0);
        if (worker != PLACE_NONE)
          placed.push_back ({ worker, need });
        for (int i = 0; i < 4; i++)
          {
            const resources_t &used = placer_worker (placer, i)->used;

            RC_ASSERT (used.cpu_milli <= total.cpu_milli && used.memory_mb <= total.memory_mb
                       && used.accelerators <= total.accelerators);
            RC_ASSERT (used.cpu_milli >= 0 && used.memory_mb >= 0 && used.accelerators >= 0);
          }
      }
    placer_free (placer);
  });
  return suite.finish ();
}
