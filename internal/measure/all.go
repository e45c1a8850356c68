package measure

import "context"

func measureAll(ctx context.Context, b *bench) error { return nil }
