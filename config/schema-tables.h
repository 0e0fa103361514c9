#ifndef CONFIG_SCHEMA_TABLES_H
#define CONFIG_SCHEMA_TABLES_H

#include "base/schema.h"

/* Schemas of account files, of the fleet file and of the document. */

#define ORIGIN_COPIES_MAX 4 /* limit of origin fetches of a model */
#define REVISION_MAX 9007199254740991.0

extern const struct schema_field account_fields[];
extern const struct schema_field fleet_fields[];
extern const struct schema_field document_fields[];

#endif
