// Guards the list against broken links after a removal during iteration.
extern "C" {
#include "list.h"
}
#include <gtest/gtest.h>

struct item_t {
	list_t link;
	int value;
};

TEST(List, RemovalDuringIterationKeepsTheOtherNodes)
{
	list_t head;
	item_t items[5];

	list_init(&head);
	for (int i = 0; i < 5; i++) {
		items[i].value = i;
		list_append(&head, &items[i].link);
	}
	LIST_FOREACH_SAFE (node, &head) {
		if (LIST_ENTRY(node, item_t, link)->value % 2 == 0)
			list_remove(node);
	}
	int sum = 0;
	LIST_FOREACH (node, &head)
		sum += LIST_ENTRY(node, item_t, link)->value;
	EXPECT_EQ(sum, 4);
	list_remove(&items[0].link);
	EXPECT_TRUE(list_is_empty(&items[0].link));
}
