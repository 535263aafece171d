use std::time::Duration;

use crocusdale_core::identity::StorePosition;
use crocusdale_platform::store::{StoreError, StoreItem, range_path, read_page};

use super::store_client::StoreClient;
use super::store_fault::{FaultCause, StoreFault};

/// Maximum number of times that one page is asked for again in one read.
const MAX_PAGE_RETRIES: u32 = 8;
/// Shortest and longest backoff before a page is asked for again.
const PAGE_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1_000));

/// The items that one full read returned.
pub(super) struct StoreContents {
    /// Position of the store at the first page.
    pub(super) position: StorePosition,
    pub(super) items: Vec<StoreItem>,
    pub(super) unreadable: Vec<StoreError>,
}

/// Reads all items, page by page. The pages are no snapshot: an item that changes meanwhile is
/// seen by the next full read, and by a watch from the revision of the first page.
///
/// Guards against a list that is never read to its end. A page that the store rejects is asked for
/// again, so that the pages before it are not lost. The first page is left to the next read.
///
/// # Errors
///
/// Returns the fault of the first page, or of the page that was asked for too often.
pub(super) async fn read_pages(
    client: &StoreClient,
    on_delay: &impl Fn(&StoreFault),
) -> Result<StoreContents, StoreFault> {
    let (mut items, mut unreadable) = (Vec::new(), Vec::new());
    let mut start_position: Option<StorePosition> = None;
    let mut after: Option<String> = None;
    let mut retry_count = 0;
    loop {
        let path = range_path(after.as_deref());
        let answer = match client.get(&path, on_delay).await {
            Err(fault) if after.is_some() && is_retried(&fault, retry_count) => {
                on_delay(&fault);
                tokio::time::sleep(page_backoff(retry_count)).await;
                retry_count += 1;
                continue;
            }
            answer => answer?,
        };
        retry_count = 0;
        let (era, page) = (answer.era, answer.parse(read_page)?);
        let start = start_position.get_or_insert(StorePosition { era, revision: page.revision });
        if start.era != era {
            return Err(answer.fault(FaultCause::Restored));
        }
        items.extend(page.items);
        unreadable.extend(page.unreadable);
        if page.next.is_some() && page.next <= after {
            return Err(answer.fault(FaultCause::RepeatedPage));
        }
        after = page.next;
        if after.is_none() {
            break;
        }
    }
    Ok(StoreContents { position: start_position.unwrap_or_default(), items, unreadable })
}

/// Whether a page whose call ended with `fault` is asked for again, after `retry_count` times.
fn is_retried(fault: &StoreFault, retry_count: u32) -> bool {
    fault.cause.is_transient() && retry_count < MAX_PAGE_RETRIES
}

/// Backoff before a page is asked for again, after `retry_count` times. Random, so that daemons which
/// have started together do not call together.
fn page_backoff(retry_count: u32) -> Duration {
    let backoff = PAGE_BACKOFF.0 * 2_u32.pow(retry_count.min(MAX_PAGE_RETRIES));
    backoff.min(PAGE_BACKOFF.1).mul_f64(rand::random_range(0.5..=1.0))
}
