/* Checks a desired state offline, before it is submitted. */
#pragma once

#include "base/error.h"

#include <stdio.h>

/* Writes one line for each finding, or one JSON object.  `against` is the file of the version in
 * force; "": none.  Returns false with ERROR_NONE if there are errors in the document, and with
 * ERROR_BAD_SETTING if the check could not run, in which case nothing is written. */
bool check_desired_file (
    const char *path, const char *against, bool json, FILE *out, error_info_t *error);
