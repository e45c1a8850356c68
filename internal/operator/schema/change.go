package schema

import (
	"github.com/pkg/errors"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/fleet"
)

// ErrNotDeclarable is returned for a change item that neither puts nor deletes a
// declared entity.
var ErrNotDeclarable = errors.New("schema: change item is neither a put nor a delete of a declared entity")

// FromItem converts a change item that puts or deletes a declared entity to the schema.
// For any other item it returns ErrNotDeclarable.
func FromItem(it fleet.ChangeItem) (*samphireforkv1.ChangeItem, error) {
	out := &samphireforkv1.ChangeItem{}
	switch {
	case it.PutDataCentre != nil:
		out.Item = &samphireforkv1.ChangeItem_PutDataCentre{PutDataCentre: fromDataCentre(*it.PutDataCentre)}
	case it.PutInstance != nil:
		out.Item = &samphireforkv1.ChangeItem_PutInstance{PutInstance: fromInstance(*it.PutInstance)}
	case it.PutPool != nil:
		out.Item = &samphireforkv1.ChangeItem_PutPool{PutPool: fromPool(*it.PutPool)}
	case it.PutTeam != nil:
		out.Item = &samphireforkv1.ChangeItem_PutTeam{PutTeam: fromTeam(*it.PutTeam)}
	case it.PutQueue != nil:
		out.Item = &samphireforkv1.ChangeItem_PutQueue{PutQueue: fromQueue(*it.PutQueue)}
	case it.PutService != nil:
		out.Item = &samphireforkv1.ChangeItem_PutService{PutService: fromService(*it.PutService)}
	case it.Delete != nil:
		ref := &samphireforkv1.EntityRef{Kind: string(it.Delete.Kind), Name: it.Delete.Name}
		out.Item = &samphireforkv1.ChangeItem_Delete{Delete: ref}
	default:
		return nil, ErrNotDeclarable
	}
	return out, nil
}

// ToItem converts a change item from the schema without validating its values. For an
// empty item it returns ErrNotDeclarable.
func ToItem(it *samphireforkv1.ChangeItem) (fleet.ChangeItem, error) {
	var out fleet.ChangeItem
	switch v := it.GetItem().(type) {
	case *samphireforkv1.ChangeItem_PutDataCentre:
		out.PutDataCentre = pointerTo(toDataCentre(v.PutDataCentre))
	case *samphireforkv1.ChangeItem_PutInstance:
		out.PutInstance = pointerTo(toInstance(v.PutInstance))
	case *samphireforkv1.ChangeItem_PutPool:
		out.PutPool = pointerTo(toPool(v.PutPool))
	case *samphireforkv1.ChangeItem_PutTeam:
		out.PutTeam = pointerTo(toTeam(v.PutTeam))
	case *samphireforkv1.ChangeItem_PutQueue:
		out.PutQueue = pointerTo(toQueue(v.PutQueue))
	case *samphireforkv1.ChangeItem_PutService:
		out.PutService = pointerTo(toService(v.PutService))
	case *samphireforkv1.ChangeItem_Delete:
		out.Delete = &fleet.EntityRef{Kind: fleet.EntityKind(v.Delete.GetKind()), Name: v.Delete.GetName()}
	default:
		return out, ErrNotDeclarable
	}
	return out, nil
}

func pointerTo[T any](v T) *T { return &v }
