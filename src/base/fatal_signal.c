#include "base/fatal_signal.h"

#include "base/log.h"

#include <execinfo.h>
#include <link.h>
#include <signal.h>
#include <stdbool.h>
#include <string.h>

enum
{
  STACK_BYTES = 64 * 1024,
  FRAMES_MAX = 16,
  OBJECTS_MAX = 64,
  OBJECT_NAME_BYTES = 32,
  TEXT_BYTES = 768
};

/* The program or a library that it is linked with, in memory. */
typedef struct
{
  char name[OBJECT_NAME_BYTES];
  guintptr base; /* addr2line takes addresses less this */
  guintptr end;
} object_t;

typedef struct
{
  int number;
  const char *text;
} fatal_signal_t;

static const fatal_signal_t fatal_signals[] = {
  { SIGSEGV, "event=fatal_signal signal=SEGV" }, { SIGBUS, "event=fatal_signal signal=BUS" },
  { SIGFPE, "event=fatal_signal signal=FPE" },   { SIGILL, "event=fatal_signal signal=ILL" },
  { SIGABRT, "event=fatal_signal signal=ABRT" }, { SIGTRAP, "event=fatal_signal signal=TRAP" },
  { SIGQUIT, "event=fatal_signal signal=QUIT" }, { SIGXCPU, "event=fatal_signal signal=XCPU" },
};

static char stack[STACK_BYTES];
static object_t objects[OBJECTS_MAX]; /* the program is the first */
static gsize object_count;

/* The functions below are safe in a signal handler. */

static gsize
append_text (char *text, gsize length, const char *more)
{
  gsize size = MIN (strlen (more), TEXT_BYTES - 1 - length);

  memcpy (text + length, more, size);
  text[length + size] = '\0';
  return length + size;
}

static gsize
append_address (char *text, gsize length, guintptr address)
{
  char digits[2 * sizeof address + 1];
  gsize first = sizeof digits - 1;

  digits[first] = '\0';
  do
    {
      digits[--first] = "0123456789abcdef"[address % 16];
      address /= 16;
    }
  while (address > 0);
  return append_text (text, length, digits + first);
}

/* Appends a return address as NAME+OFFSET, or as it is where no object is known. */
static gsize
append_frame (char *text, gsize length, guintptr address)
{
  for (gsize i = 0; i < object_count; i++)
    {
      if (address < objects[i].base || address >= objects[i].end)
        continue;
      length = append_text (text, length, objects[i].name);
      length = append_text (text, length, "+");
      return append_address (text, length, address - objects[i].base);
    }
  return append_address (text, length, address);
}

/* Logs the address that the program failed at. */
static void
log_address (const fatal_signal_t *signal, const siginfo_t *info)
{
  char text[TEXT_BYTES];
  gsize length = append_text (text, 0, signal->text);

  length = append_text (text, length, " address=");
  length = append_address (text, length, (guintptr) info->si_addr);
  length = append_text (text, length, " base=");
  (void) append_address (text, length, objects[0].base);
  log_last_line ("process", text);
}

/* Logs the return addresses of the functions that were being called, the innermost first. */
static void
log_frames (const fatal_signal_t *signal)
{
  void *frames[FRAMES_MAX];
  int count = backtrace (frames, FRAMES_MAX);
  char text[TEXT_BYTES];
  gsize length = append_text (text, 0, signal->text);

  length = append_text (text, length, " frames=");
  for (int i = 0; i < count; i++)
    {
      length = append_text (text, length, i > 0 ? "," : "");
      length = append_frame (text, length, (guintptr) frames[i]);
    }
  log_last_line ("process", text);
}

/* SA_RESETHAND has restored the default action, which the second signal takes. */
static void
on_fatal_signal (int number, siginfo_t *info, void *context G_GNUC_UNUSED)
{
  for (gsize i = 0; i < G_N_ELEMENTS (fatal_signals); i++)
    {
      if (fatal_signals[i].number != number)
        continue;
      /* A line each: finding the frames of a damaged stack may fail. */
      log_address (&fatal_signals[i], info);
      log_frames (&fatal_signals[i]);
    }
  (void) raise (number);
}

static int
add_object (struct dl_phdr_info *info, size_t size G_GNUC_UNUSED, void *data G_GNUC_UNUSED)
{
  object_t *object = &objects[object_count];
  g_autofree char *name = g_path_get_basename (info->dlpi_name);

  (void) g_strlcpy (object->name, info->dlpi_name[0] != '\0' ? name : "program",
                    sizeof object->name);
  object->base = info->dlpi_addr;
  object->end = info->dlpi_addr;
  for (gsize i = 0; i < info->dlpi_phnum; i++)
    {
      const ElfW (Phdr) *segment = &info->dlpi_phdr[i];

      if (segment->p_type == PT_LOAD)
        object->end = MAX (object->end, info->dlpi_addr + segment->p_vaddr + segment->p_memsz);
    }
  object_count++;
  return object_count == OBJECTS_MAX;
}

/* Keeps a stack for signal handlers that is set already. */
static bool
set_signal_stack (void)
{
  stack_t own_stack = { .ss_sp = stack, .ss_size = sizeof stack };
  stack_t previous;

  if (sigaltstack (NULL, &previous) != 0)
    return false;
  return (previous.ss_flags & SS_DISABLE) == 0 || sigaltstack (&own_stack, NULL) == 0;
}

void
fatal_signal_install (void)
{
  void *frame;

  if (!set_signal_stack ())
    return;
  object_count = 0;
  (void) dl_iterate_phdr (add_object, NULL);
  (void) backtrace (&frame, 1); /* the first call loads a library, which a handler must not */
  for (gsize i = 0; i < G_N_ELEMENTS (fatal_signals); i++)
    {
      struct sigaction action = { .sa_sigaction = on_fatal_signal,
                                  .sa_flags = SA_SIGINFO | SA_ONSTACK | (int) SA_RESETHAND };
      struct sigaction previous;

      if (sigaction (fatal_signals[i].number, NULL, &previous) == 0
          && (previous.sa_flags & SA_SIGINFO) == 0 && previous.sa_handler == SIG_DFL)
        (void) sigaction (fatal_signals[i].number, &action, NULL);
    }
}
