#ifndef LUG_WIRE_SOURCE_H
#define LUG_WIRE_SOURCE_H

#include <glib.h>

/* Receives one message; returns FALSE when none is available. */
typedef gboolean (*lug_socket_source_fn)(void *data);

GSource *lug_socket_source_attach(void *socket, lug_socket_source_fn fn, void *data);
void lug_socket_source_detach(GSource **source);
void lug_socket_source_recheck(GSource *source);

#endif
