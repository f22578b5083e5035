#include "core/arena.h"

#include <stdarg.h>
#include <string.h>

#define ARENA_BLOCK_BYTES 2048
#define ARENA_ALIGN_BYTES 16

struct arena_block {
	struct arena_block *next;
	gsize used;
	gsize size;
	char data[] __attribute__((aligned(ARENA_ALIGN_BYTES)));
};

struct lug_arena {
	struct arena_block *head;
};

static struct arena_block *block_new(gsize need, struct arena_block *next)
{
	gsize size = MAX(need, (gsize)ARENA_BLOCK_BYTES);
	struct arena_block *block = g_malloc(sizeof(*block) + size);

	block->next = next;
	block->used = 0;
	block->size = size;
	return block;
}

/**
 * lug_arena_new - create an empty arena
 *
 * Return: arena, released by lug_arena_free().
 */
struct lug_arena *lug_arena_new(void)
{
	struct lug_arena *arena = g_new0(struct lug_arena, 1);

	arena->head = block_new(0, NULL);
	return arena;
}

/**
 * lug_arena_free - release an arena and everything allocated from it
 * @arena: arena, may be NULL
 */
void lug_arena_free(struct lug_arena *arena)
{
	if (!arena)
		return;
	while (arena->head) {
		struct arena_block *next = arena->head->next;

		g_free(arena->head);
		arena->head = next;
	}
	g_free(arena);
}

/**
 * lug_arena_alloc - allocate zeroed bytes
 * @arena: arena
 * @size: bytes
 *
 * Return: memory aligned to 16 bytes that lives as long as the arena.
 */
void *lug_arena_alloc(struct lug_arena *arena, gsize size)
{
	gsize need = (size + ARENA_ALIGN_BYTES - 1) & ~(gsize)(ARENA_ALIGN_BYTES - 1);
	void *ptr;

	if (arena->head->size - arena->head->used < need)
		arena->head = block_new(need, arena->head);
	ptr = arena->head->data + arena->head->used;
	arena->head->used += need;
	memset(ptr, 0, size);
	return ptr;
}

/**
 * lug_arena_memdup - copy bytes into the arena
 * @arena: arena
 * @data: bytes to copy, may be NULL when @len is 0
 * @len: number of bytes
 *
 * Return: the copy, owned by the arena.
 */
void *lug_arena_memdup(struct lug_arena *arena, const void *data, gsize len)
{
	void *copy = lug_arena_alloc(arena, len);

	if (len)
		memcpy(copy, data, len);
	return copy;
}

/**
 * lug_arena_strdup - copy a string into the arena
 * @arena: arena
 * @text: string, may be NULL
 *
 * Return: the copy, owned by the arena, or NULL when @text is NULL.
 */
char *lug_arena_strdup(struct lug_arena *arena, const char *text)
{
	return text ? lug_arena_memdup(arena, text, strlen(text) + 1) : NULL;
}

/**
 * lug_arena_printf - format a string into the arena
 * @arena: arena
 * @fmt: printf format
 *
 * Return: the text, owned by the arena.
 */
char *lug_arena_printf(struct lug_arena *arena, const char *fmt, ...)
{
	va_list ap;
	char *text;
	char *copy;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	copy = lug_arena_strdup(arena, text);
	g_free(text);
	return copy;
}
